#ifndef CHIVECRANK_OPERATORS_OPERATOR_DIRECTORY_H_
#define CHIVECRANK_OPERATORS_OPERATOR_DIRECTORY_H_

#include <string_view>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/operators/types.h"

namespace chivecrank::operators {

/// Knows the operators by the hashes of their tokens.
class operator_directory {
 public:
  explicit operator_directory(std::vector<operator_account> accounts);

  /// The operator of an Authorization header, if the role suffices.
  /// kUnauthenticated without a known token, kPermissionDenied for a role
  /// below `needed`.
  base::result<operator_account> Authorize(std::string_view authorization,
                                           operator_role needed) const;

 private:
  std::vector<operator_account> accounts_;
};

}  // namespace chivecrank::operators

#endif  // CHIVECRANK_OPERATORS_OPERATOR_DIRECTORY_H_
