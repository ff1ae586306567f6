#include "chivecrank/upstreams/http_upstream_client.h"

namespace chivecrank::upstreams {

base::result<http::response> http_upstream_client::Send(
    const settings::endpoint& upstream,
    const http::request& message,
    std::chrono::milliseconds timeout) {
  BOOST_OUTCOME_TRY(answer, ClientOf(upstream)->Call(message, timeout));
  const std::string_view answered = answer.Header(kRequestIdHeader);
  // Upstreams need not name the request; those that do must name this one.
  if (answered.empty() || answered == message.Header(kRequestIdHeader))
    return answer;
  return base::error{base::error_kind::kOutcomeUnknown,
                     "the answer is for another request",
                     "check what is between the entry and the upstream"};
}

std::shared_ptr<http::client> http_upstream_client::ClientOf(
    const settings::endpoint& upstream) {
  std::lock_guard lock(mutex_);
  std::shared_ptr<http::client>& known = clients_[settings::ToString(upstream)];
  if (!known)
    known = std::make_shared<http::client>(upstream);
  return known;
}

}  // namespace chivecrank::upstreams
