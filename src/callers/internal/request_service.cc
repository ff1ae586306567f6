#include "chivecrank/callers/request_service.h"

#include "chivecrank/http/json.h"

namespace chivecrank::callers {
namespace {

constexpr std::chrono::milliseconds kWaitStep{20};

http::request UpstreamRequest(const caller_request& request) {
  http::request message{
      request.message.method, request.target, {}, request.message.body};
  const std::string_view type = request.message.Header("Content-Type");
  if (!type.empty())
    message.headers.push_back({"Content-Type", std::string(type)});
  message.headers.push_back(
      {upstreams::kRequestIdHeader, request.account + "/" + request.key});
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

}  // namespace

request_service::request_service(base::clock& clock,
                                 routing::entry_share share,
                                 upstreams::upstream_client& client)
    : clock_(clock), client_(client), router_(share) {}

void request_service::UpdateUpstreams(
    const std::vector<platform::instance>& upstreams) {
  std::lock_guard lock(mutex_);
  router_.Update(upstreams);
  released_.notify_all();
}

caller_answer request_service::Serve(const caller_request& request) {
  const auto upstream = WaitForSlot(request.deadline);
  if (!upstream) {
    return Refusal(request_outcome::kNotRun,
                   {base::error_kind::kResourceExhausted,
                    "no upstream was free before the deadline",
                    "send the request again after a second"});
  }
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.deadline - clock_.Now());
  const auto answer =
      client_.Send(upstream->service, UpstreamRequest(request), remaining);
  Release(upstream->id);
  if (answer.has_value())
    return {request_outcome::kCompleted, FromUpstream(answer.value())};
  const bool unsent = answer.error().kind == base::error_kind::kUnavailable;
  return Refusal(unsent ? request_outcome::kNotRun : request_outcome::kUnknown,
                 answer.error());
}

std::optional<platform::instance> request_service::WaitForSlot(
    base::time_point deadline) {
  std::unique_lock lock(mutex_);
  while (clock_.Now() < deadline) {
    auto upstream = router_.Acquire();
    if (upstream)
      return upstream;
    released_.wait_for(lock, kWaitStep);
  }
  return std::nullopt;
}

void request_service::Release(const std::string& upstream_id) {
  std::lock_guard lock(mutex_);
  router_.Release(upstream_id);
  released_.notify_one();
}

}  // namespace chivecrank::callers
