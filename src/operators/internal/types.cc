#include "chivecrank/operators/types.h"

#include <array>

namespace chivecrank::operators {
namespace {

struct role_name {
  operator_role role;
  std::string_view name;
};

constexpr std::array kRoleNames = {
    role_name{operator_role::kViewer, "viewer"},
    role_name{operator_role::kEditor, "editor"},
    role_name{operator_role::kAdministrator, "administrator"},
};

}  // namespace

std::string_view OperatorRoleName(operator_role value) {
  for (const role_name& entry : kRoleNames) {
    if (entry.role == value)
      return entry.name;
  }
  return "unknown";
}

std::optional<operator_role> OperatorRoleFromName(std::string_view name) {
  for (const role_name& entry : kRoleNames) {
    if (entry.name == name)
      return entry.role;
  }
  return std::nullopt;
}

}  // namespace chivecrank::operators
