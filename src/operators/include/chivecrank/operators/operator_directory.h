#ifndef CHIVECRANK_OPERATORS_OPERATOR_DIRECTORY_H_
#define CHIVECRANK_OPERATORS_OPERATOR_DIRECTORY_H_

#include <string_view>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/operators/types.h"

namespace chivecrank::operators {

/// Authenticates operators by the hashes of their tokens.
class operator_directory {
 public:
  explicit operator_directory(std::vector<operator_account> accounts);

  /// Returns the operator whose token is in an Authorization header.
  /// kUnauthenticated if the token is missing or unknown, kPermissionDenied if
  /// the operator's role is below `needed`.
  base::result<operator_account> Authorize(std::string_view authorization,
                                           operator_role needed) const;

 private:
  std::vector<operator_account> accounts_;
};

}  // namespace chivecrank::operators

#endif  // CHIVECRANK_OPERATORS_OPERATOR_DIRECTORY_H_
