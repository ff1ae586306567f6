#include "internal/caller_request.h"

#include <charconv>

namespace chivecrank::callers::internal {
namespace {

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::size_t kMaxKeyBytes = 200;

base::error Invalid(std::string message, std::string remedy) {
  return {base::error_kind::kInvalidArgument, std::move(message),
          std::move(remedy)};
}

base::result<std::chrono::milliseconds> ReadTimeout(
    std::string_view text,
    const configuration::service_template& service) {
  if (text.empty())
    return service.default_deadline;
  std::int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, count);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     count > 0 && count <= service.longest_deadline.count();
  if (valid)
    return std::chrono::milliseconds(count);
  return Invalid(std::string(kTimeoutHeader) + " is invalid",
                 "send whole milliseconds from 1 to " +
                     std::to_string(service.longest_deadline.count()));
}

base::result<bool> ReadFlag(const http::request& message,
                            const std::string& name,
                            bool default_value) {
  const std::string_view text = message.Header(name);
  if (text.empty())
    return default_value;
  if (text == "true" || text == "false")
    return text == "true";
  return Invalid(name + " is invalid", "send true or false");
}

bool IsSafeMethod(const http::request& message) {
  return message.method == "GET" || message.method == "HEAD";
}

}  // namespace

base::result<caller_request> ParseServiceRequest(
    const http::request& message,
    const configuration::content& configured,
    const configuration::client_account& account,
    base::time_point now) {
  const std::string rest = message.target.substr(kServicesPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string name = rest.substr(0, slash);
  const configuration::service_template* service =
      configuration::FindService(configured, name);
  if (service == nullptr) {
    return base::error{base::error_kind::kNotFound, "unknown service " + name,
                       "use the name of a configured service"};
  }
  BOOST_OUTCOME_TRY(timeout,
                    ReadTimeout(message.Header(kTimeoutHeader), *service));
  BOOST_OUTCOME_TRY(
      idempotent, ReadFlag(message, kIdempotentHeader, IsSafeMethod(message)));
  BOOST_OUTCOME_TRY(first_send, ReadFlag(message, kFirstSendHeader, false));
  const std::string key(message.Header(kKeyHeader));
  if (key.size() > kMaxKeyBytes || (!idempotent && key.empty())) {
    return Invalid(
        std::string(kKeyHeader) + " is missing or too long",
        "send a key of 1 to 200 characters that no other request uses");
  }
  return caller_request{account.name,
                        name,
                        slash == std::string::npos ? "/" : rest.substr(slash),
                        key,
                        idempotent,
                        first_send,
                        now + timeout,
                        message,
                        account.weight,
                        account.request_limit,
                        service->queue_limit};
}

}  // namespace chivecrank::callers::internal
