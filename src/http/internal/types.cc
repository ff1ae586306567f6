#include "chivecrank/http/types.h"

#include <Poco/String.h>
#include <Poco/URI.h>

namespace chivecrank::http {
namespace {

std::string_view FindHeader(const std::vector<header>& headers,
                            std::string_view name) {
  for (const header& field : headers) {
    if (Poco::icompare(field.name, std::string(name)) == 0)
      return field.value;
  }
  return {};
}

}  // namespace

status StatusOf(base::error_kind kind) {
  switch (kind) {
    case base::error_kind::kInvalidArgument:
      return status::kBadRequest;
    case base::error_kind::kNotFound:
      return status::kNotFound;
    case base::error_kind::kConflict:
    case base::error_kind::kFenced:
      return status::kConflict;
    case base::error_kind::kPermissionDenied:
      return status::kForbidden;
    case base::error_kind::kUnauthenticated:
      return status::kUnauthorized;
    case base::error_kind::kResourceExhausted:
      return status::kTooManyRequests;
    case base::error_kind::kUnavailable:
      return status::kServiceUnavailable;
    case base::error_kind::kTimeout:
    case base::error_kind::kOutcomeUnknown:
      return status::kGatewayTimeout;
    case base::error_kind::kCorrupt:
    case base::error_kind::kInternal:
      return status::kInternalServerError;
  }
  return status::kInternalServerError;
}

std::string_view request::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

std::string_view request::Path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string request::Query(std::string_view name) const {
  const std::size_t query_start = target.find('?');
  if (query_start == std::string::npos)
    return {};
  Poco::URI parsed;
  parsed.setRawQuery(target.substr(query_start + 1));
  for (const auto& [key, value] : parsed.getQueryParameters()) {
    if (key == name)
      return value;
  }
  return {};
}

std::string_view response::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

}  // namespace chivecrank::http
