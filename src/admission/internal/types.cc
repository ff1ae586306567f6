#include "chivecrank/admission/types.h"

namespace chivecrank::admission {

std::string_view RefusalReasonName(refusal_reason value) {
  switch (value) {
    case refusal_reason::kNone:
      return "none";
    case refusal_reason::kAccountLimit:
      return "account_limit";
    case refusal_reason::kQueueFull:
      return "queue_full";
    case refusal_reason::kTooLate:
      return "too_late";
  }
  return "unknown";
}

}  // namespace chivecrank::admission
