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
  // An upstream stops at the deadline, so that its slot is free again.
  message.headers.push_back(
      {kTimeoutHeader, std::to_string(remaining.count())});
  return message;
}

caller_answer Refusal(request_outcome outcome, const base::error& failure) {
  return {outcome, http::ErrorResponse(failure)};
}

http::response FromUpstream(const http::response& answer) {
  http::response passed{answer.code, {}, answer.body};
  for (const http::header& field : answer.headers) {
    const bool end_to_end =
        field.name.starts_with("X-") || field.name == "Content-Type";
    if (end_to_end)
      passed.headers.push_back(field);
  }
  return passed;
}

entries::slot_demand SlotWait(const caller_request& request) {
  entries::slot_demand wait;
  wait.service = request.service;
  wait.queue_limit = request.queue_limit;
  wait.account = request.account;
  wait.weight = request.account_weight;
  wait.account_limit = request.account_limit;
  wait.deadline = request.deadline;
  return wait;
}

std::string ReasonText(admission::refusal_reason reason) {
  switch (reason) {
    case admission::refusal_reason::kAccountLimit:
      return "the account has as many requests in progress as it may";
    case admission::refusal_reason::kQueueFull:
      return "the service's queue is full";
    default:
      return "no upstream can answer before the deadline";
  }
}

caller_answer NotAdmitted(const admission::refusal& refused) {
  const std::string wait = std::to_string(refused.retry_after.count());
  caller_answer answer =
      Refusal(request_outcome::kNotRun,
              {base::error_kind::kResourceExhausted, ReasonText(refused.reason),
               "send the request again after " + wait + " ms"});
  answer.response.headers.push_back({kRetryAfterHeader, wait});
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
  const entries::slot_result granted = slots_.Acquire(SlotWait(request));
  if (!granted.slot)
    return NotAdmitted(granted.refused);
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.deadline - clock_.Now());
  const auto answer =
      client_.Send(granted.slot->ticket.upstream.service,
                   UpstreamRequest(request, remaining), remaining);
  slots_.Release(*granted.slot, SlotOutcome(answer));
  if (answer.has_value())
    return {request_outcome::kCompleted, FromUpstream(answer.value())};
  const bool unsent = answer.error().kind == base::error_kind::kUnavailable;
  return Refusal(unsent ? request_outcome::kNotRun : request_outcome::kUnknown,
                 answer.error());
}

}  // namespace chivecrank::callers
