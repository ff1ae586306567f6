#include "chivecrank/callers/caller_api.h"

#include <utility>

#include "chivecrank/callers/account_directory.h"
#include "chivecrank/http/json.h"
#include "internal/caller_request.h"

namespace chivecrank::callers {
namespace {

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kRequestsPrefix = "/v1/requests/";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kJobPrefix = "/v1/jobs/";
constexpr auto kOrigin = instances::call_origin::kEntry;

caller_answer NotRun(const base::error& failure) {
  return {request_outcome::kNotRun, http::ErrorResponse(failure)};
}

/// The outcome is unknown if the rejected request may be a retry: an earlier
/// attempt with the same key may have run.
caller_answer Reject(const http::request& message, const base::error& failure) {
  const bool may_be_repeat = !message.Header(kKeyHeader).empty() &&
                             message.Header(kIdempotentHeader) != "true" &&
                             message.Header(kFirstSendHeader) != "true";
  return {may_be_repeat ? request_outcome::kUnknown : request_outcome::kNotRun,
          http::ErrorResponse(failure)};
}

base::error NoSuchPath(const http::request& message) {
  return {
      base::error_kind::kNotFound,
      "no endpoint for " + message.method + " " + std::string(message.Path()),
      "see the callers' page in the documentation"};
}

http::json_object EncodeReport(const instances::job_report& report) {
  http::json_object body = new Poco::JSON::Object;
  body->set("job", report.job_id);
  body->set("template", report.template_name);
  body->set("state", report.state);
  body->set("attempts", report.attempts);
  body->set("worker", report.worker_id);
  body->set("detail", report.detail);
  return body;
}

}  // namespace

caller_api::caller_api(base::clock& clock,
                       const configuration::view& configured,
                       once_service& requests,
                       instances::job_service& jobs,
                       observer observe)
    : clock_(clock),
      configured_(configured),
      requests_(requests),
      jobs_(jobs),
      observe_(std::move(observe)) {}

http::response caller_api::Answer(const http::request& message) {
  caller_answer answer = Route(message);
  answer.response.headers.push_back(
      {kOutcomeHeader, std::string(RequestOutcomeName(answer.outcome))});
  return answer.response;
}

caller_answer caller_api::Route(const http::request& message) {
  const auto current = configured_.Current();
  if (!current) {
    return Reject(message, {base::error_kind::kUnavailable,
                            "no configuration has been received yet",
                            "send the request to another entry"});
  }
  const auto account =
      Authenticate(current->content, message.Header("Authorization"));
  if (!account.has_value())
    return Reject(message, account.error());
  const std::string_view path = message.Path();
  if (path.starts_with(kServicesPrefix)) {
    const auto request = internal::ParseServiceRequest(
        message, current->content, account.value(), clock_.Now());
    if (!request.has_value())
      return Reject(message, request.error());
    return ServeObserved(request.value(), current->content);
  }
  if (path.starts_with(kRequestsPrefix) && message.method == "GET")
    return DescribeKey(message, account.value());
  if (path == kJobsPath || path.starts_with(kJobPrefix))
    return AnswerJobs(message, account.value());
  return NotRun(NoSuchPath(message));
}

caller_answer caller_api::ServeObserved(
    const caller_request& request,
    const configuration::content& configured) {
  const base::time_point arrived = clock_.Now();
  caller_answer answer = requests_.Serve(request);
  const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
      clock_.Now() - arrived);
  const configuration::service_template* service =
      configuration::FindService(configured, request.service);
  const bool in_objective = answer.outcome == request_outcome::kCompleted &&
                            service != nullptr &&
                            latency <= service->objective_latency;
  observe_({request.service, request.account,
            std::string(RequestOutcomeName(answer.outcome)), latency,
            in_objective});
  return answer;
}

caller_answer caller_api::DescribeKey(
    const http::request& message,
    const configuration::client_account& account) {
  const std::string key(message.Path().substr(kRequestsPrefix.size()));
  const auto report = requests_.Describe(account.name, key);
  if (!report.has_value())
    return {request_outcome::kUnknown, http::ErrorResponse(report.error())};
  http::json_object body = new Poco::JSON::Object;
  body->set("key", key);
  body->set("state",
            std::string(idempotency::KeyStateName(report.value().state)));
  return {request_outcome::kCompleted,
          http::JsonResponse(http::status::kOk, body)};
}

caller_answer caller_api::AnswerJobs(
    const http::request& message,
    const configuration::client_account& account) {
  const auto report = CallJobs(message, account);
  if (report.has_value()) {
    return {
        request_outcome::kCompleted,
        http::JsonResponse(http::status::kOk, EncodeReport(report.value()))};
  }
  const bool unknown = report.error().kind == base::error_kind::kOutcomeUnknown;
  return {unknown ? request_outcome::kUnknown : request_outcome::kNotRun,
          http::ErrorResponse(report.error())};
}

base::result<instances::job_report> caller_api::CallJobs(
    const http::request& message,
    const configuration::client_account& account) {
  const std::string_view path = message.Path();
  if (path == kJobsPath && message.method == "POST") {
    BOOST_OUTCOME_TRY(body, http::ParseObject(message.body));
    const std::string key(message.Header(kKeyHeader));
    if (key.empty()) {
      return base::error{base::error_kind::kInvalidArgument,
                         std::string(kKeyHeader) + " is missing",
                         "send a key that no other job uses"};
    }
    return jobs_.Submit(
        {account.name, account.team, key, http::StringOf(body, "template")},
        kOrigin);
  }
  if (!path.starts_with(kJobPrefix))
    return NoSuchPath(message);
  const std::string job_id(path.substr(kJobPrefix.size()));
  if (message.method == "GET")
    return jobs_.Describe({account.name, job_id}, kOrigin);
  if (message.method == "DELETE")
    return jobs_.Cancel({account.name, job_id}, kOrigin);
  return NoSuchPath(message);
}

}  // namespace chivecrank::callers
