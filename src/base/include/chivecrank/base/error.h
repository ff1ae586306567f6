#ifndef CHIVECRANK_BASE_ERROR_H_
#define CHIVECRANK_BASE_ERROR_H_

#include <string>
#include <string_view>

/// Types that all modules use: errors, results, clocks.
namespace chivecrank::base {

/// Kind of a failure. Callers may branch on the kind only, not on the texts of
/// an error.
enum class error_kind {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kPermissionDenied,
  kUnauthenticated,
  kResourceExhausted,
  kUnavailable,
  kTimeout,
  kOutcomeUnknown,
  kFenced,
  kCorrupt,
  kInternal,
};

/// Lower-case name of a kind, as used in logs and JSON.
std::string_view ErrorKindName(error_kind kind);

/// kInternal for an unknown name.
error_kind ErrorKindFromName(std::string_view name);

/// A failed operation. `message` describes the failure, `remedy` what the
/// caller or operator can do about it.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string message;
  std::string remedy;
};

/// Formats an error as one line: "kind: message; remedy".
std::string Describe(const error& failure);

}  // namespace chivecrank::base

#endif  // CHIVECRANK_BASE_ERROR_H_
