#include "chivecrank/upstreams/http_upstream_client.h"

namespace chivecrank::upstreams {

base::result<http::response> http_upstream_client::Send(
    const settings::endpoint& upstream,
    const http::request& message,
    std::chrono::milliseconds timeout) {
  return ClientOf(upstream)->Call(message, timeout);
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
