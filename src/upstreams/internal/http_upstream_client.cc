#include "chivecrank/upstreams/http_upstream_client.h"

namespace chivecrank::upstreams {

base::result<http::response> http_upstream_client::Send(
    const settings::endpoint& upstream,
    const http::request& message,
    std::chrono::milliseconds timeout) {
  BOOST_OUTCOME_TRY(answer, ClientOf(upstream)->Call(message, timeout));
  const std::string_view answered_id = answer.Header(kRequestIdHeader);
  // The header is optional in answers, but must match if it is present.
  if (answered_id.empty() || answered_id == message.Header(kRequestIdHeader))
    return answer;
  return base::error{base::error_kind::kOutcomeUnknown,
                     "the answer is for another request",
                     "check what is between the entry and the upstream"};
}

std::shared_ptr<http::client> http_upstream_client::ClientOf(
    const settings::endpoint& upstream) {
  std::lock_guard lock(mutex_);
  std::shared_ptr<http::client>& client =
      clients_[settings::ToString(upstream)];
  if (!client)
    client = std::make_shared<http::client>(upstream);
  return client;
}

}  // namespace chivecrank::upstreams
