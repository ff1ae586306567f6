#include "chivecrank/coordination/types.h"

namespace chivecrank::coordination {

std::string_view CallClassName(call_class value) {
  switch (value) {
    case call_class::kOwnership:
      return "ownership";
    case call_class::kJournal:
      return "journal";
    case call_class::kIntent:
      return "intent";
    case call_class::kConfiguration:
      return "configuration";
    case call_class::kWatch:
      return "watch";
  }
  return "unknown";
}

std::string_view ChangeKindName(change_kind value) {
  return value == change_kind::kPut ? "put" : "delete";
}

std::string_view InstanceKindName(instance_kind value) {
  return value == instance_kind::kSystem ? "system" : "worker";
}

std::string_view InstanceStateName(instance_state value) {
  return value == instance_state::kLive ? "live" : "leaving";
}

}  // namespace chivecrank::coordination
