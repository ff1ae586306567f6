#include "chivecrank/routing/types.h"

namespace chivecrank::routing {

std::string_view SlotOutcomeName(slot_outcome value) {
  switch (value) {
    case slot_outcome::kAnswered:
      return "answered";
    case slot_outcome::kFailed:
      return "failed";
    case slot_outcome::kUnreachable:
      return "unreachable";
    case slot_outcome::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

}  // namespace chivecrank::routing
