#ifndef CHIVECRANK_OPERATORS_TYPES_H_
#define CHIVECRANK_OPERATORS_TYPES_H_

#include <optional>
#include <string>
#include <string_view>

/// The administration API and the operators that may use it.
namespace chivecrank::operators {

/// Permissions of an operator; each role includes those before it.
enum class operator_role { kViewer, kEditor, kAdministrator };

std::string_view OperatorRoleName(operator_role value);

/// Returns std::nullopt for an unknown name.
std::optional<operator_role> OperatorRoleFromName(std::string_view name);

/// A person or script that administers the system.
struct operator_account {
  std::string name;
  operator_role role = operator_role::kViewer;
  /// SHA-256 of the operator's token, in hexadecimal.
  std::string token_hash;
};

}  // namespace chivecrank::operators

#endif  // CHIVECRANK_OPERATORS_TYPES_H_
