#include "chivecrank/base/error.h"

#include <array>

namespace chivecrank::base {
namespace {

struct kind_name {
  error_kind kind;
  std::string_view name;
};

constexpr std::array kKindNames = {
    kind_name{error_kind::kInvalidArgument, "invalid_argument"},
    kind_name{error_kind::kNotFound, "not_found"},
    kind_name{error_kind::kConflict, "conflict"},
    kind_name{error_kind::kPermissionDenied, "permission_denied"},
    kind_name{error_kind::kUnauthenticated, "unauthenticated"},
    kind_name{error_kind::kResourceExhausted, "resource_exhausted"},
    kind_name{error_kind::kUnavailable, "unavailable"},
    kind_name{error_kind::kTimeout, "timeout"},
    kind_name{error_kind::kOutcomeUnknown, "outcome_unknown"},
    kind_name{error_kind::kFenced, "fenced"},
    kind_name{error_kind::kCorrupt, "corrupt"},
    kind_name{error_kind::kInternal, "internal"},
};

}  // namespace

std::string_view ErrorKindName(error_kind kind) {
  for (const kind_name& entry : kKindNames) {
    if (entry.kind == kind)
      return entry.name;
  }
  return "internal";
}

error_kind ErrorKindFromName(std::string_view name) {
  for (const kind_name& entry : kKindNames) {
    if (entry.name == name)
      return entry.kind;
  }
  return error_kind::kInternal;
}

std::string Describe(const error& failure) {
  std::string text(ErrorKindName(failure.kind));
  text += ": " + failure.message;
  if (!failure.remedy.empty())
    text += "; " + failure.remedy;
  return text;
}

}  // namespace chivecrank::base
