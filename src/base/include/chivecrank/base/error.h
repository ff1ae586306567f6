#ifndef CHIVECRANK_BASE_ERROR_H_
#define CHIVECRANK_BASE_ERROR_H_

#include <string>
#include <string_view>

/// Errors of every module: a typed kind, what happened, and what to do.
namespace chivecrank::base {

/// What sort of failure an error reports. Callers branch on this only.
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

/// The lower-case name of a kind, as it appears in logs and JSON.
std::string_view ErrorKindName(error_kind kind);

/// The kind with the given name; kInternal for an unknown name.
error_kind ErrorKindFromName(std::string_view name);

/// A failed operation. `message` says what happened, `remedy` what to do next.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string message;
  std::string remedy;
};

/// One line for logs and operators: "kind: message; remedy".
std::string Describe(const error& failure);

}  // namespace chivecrank::base

#endif  // CHIVECRANK_BASE_ERROR_H_
