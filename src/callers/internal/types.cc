#include "chivecrank/callers/types.h"

namespace chivecrank::callers {

std::string_view RequestOutcomeName(request_outcome value) {
  switch (value) {
    case request_outcome::kCompleted:
      return "completed";
    case request_outcome::kNotRun:
      return "not_run";
    case request_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace chivecrank::callers
