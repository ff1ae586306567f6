#include "chivecrank/callers/request_service.h"

#include "chivecrank/http/json.h"

namespace chivecrank::callers {
namespace {

constexpr int kServerError = 500;

http::request UpstreamRequest(const caller_request& request,
                              std::chrono::milliseconds remaining) {
  http::request message{
      request.message.method, request.target, {}, request.message.body};
  const std::string_view type = request.message.Header("Content-Type");
  if (!type.empty())
    message.headers.push_back({"Content-Type", std::string(type)});
  message.headers.push_back(
      {upstreams::kRequestIdHeader, request.account + "/" + request.key});
  // The upstream aborts the request at the deadline, so that its slot becomes
  // free again.
  message.headers.push_back(
      {kTimeoutHeader, std::to_string(remaining.count())});
  return message;
}

caller_answer Reject(request_outcome outcome, const base::error& failure) {
  return {outcome, http::ErrorResponse(failure)};
}

http::response ForwardedResponse(const http::response& answer) {
  http::response forwarded{answer.code, {}, answer.body};
  for (const http::header& field : answer.headers) {
    const bool end_to_end =
        field.name.starts_with("X-") || field.name == "Content-Type";
    if (end_to_end)
      forwarded.headers.push_back(field);
  }
  return forwarded;
}

entries::slot_demand SlotDemand(const caller_request& request) {
  entries::slot_demand demand;
  demand.service = request.service;
  demand.queue_limit = request.queue_limit;
  demand.account = request.account;
  demand.weight = request.account_weight;
  demand.account_limit = request.account_limit;
  demand.deadline = request.deadline;
  return demand;
}

std::string ReasonText(admission::refusal_reason reason) {
  switch (reason) {
    case admission::refusal_reason::kAccountLimit:
      return "the account has reached its limit of requests in progress";
    case admission::refusal_reason::kQueueFull:
      return "the service's queue is full";
    default:
      return "no upstream can answer before the deadline";
  }
}

caller_answer RejectUnadmitted(const admission::refusal& refused) {
  const std::string delay_ms = std::to_string(refused.retry_after.count());
  caller_answer answer =
      Reject(request_outcome::kNotRun,
             {base::error_kind::kResourceExhausted, ReasonText(refused.reason),
              "send the request again after " + delay_ms + " ms"});
  answer.response.headers.push_back({kRetryAfterHeader, delay_ms});
  return answer;
}

routing::slot_outcome SlotOutcome(const base::result<http::response>& answer) {
  if (answer.has_value()) {
    return answer.value().code >= kServerError
               ? routing::slot_outcome::kFailed
               : routing::slot_outcome::kAnswered;
  }
  return answer.error().kind == base::error_kind::kUnavailable
             ? routing::slot_outcome::kUnreachable
             : routing::slot_outcome::kAbandoned;
}

}  // namespace

request_service::request_service(base::clock& clock,
                                 entries::slot_pool& slots,
                                 upstreams::upstream_client& client)
    : clock_(clock), slots_(slots), client_(client) {}

caller_answer request_service::Serve(const caller_request& request) {
  const entries::slot_result granted = slots_.Acquire(SlotDemand(request));
  if (!granted.slot)
    return RejectUnadmitted(granted.refused);
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.deadline - clock_.Now());
  const auto answer =
      client_.Send(granted.slot->ticket.upstream.service,
                   UpstreamRequest(request, remaining), remaining);
  slots_.Release(*granted.slot, SlotOutcome(answer));
  if (answer.has_value())
    return {request_outcome::kCompleted, ForwardedResponse(answer.value())};
  const bool unsent = answer.error().kind == base::error_kind::kUnavailable;
  return Reject(unsent ? request_outcome::kNotRun : request_outcome::kUnknown,
                answer.error());
}

}  // namespace chivecrank::callers
