#ifndef CHIVECRANK_UPSTREAMS_HTTP_UPSTREAM_CLIENT_H_
#define CHIVECRANK_UPSTREAMS_HTTP_UPSTREAM_CLIENT_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "chivecrank/http/client.h"
#include "chivecrank/upstreams/upstream_client.h"

namespace chivecrank::upstreams {

/// Sends requests to upstreams over persistent HTTP connections.
class http_upstream_client final : public upstream_client {
 public:
  base::result<http::response> Send(const settings::endpoint& upstream,
                                    const http::request& message,
                                    std::chrono::milliseconds timeout) override;

 private:
  std::shared_ptr<http::client> ClientOf(const settings::endpoint& upstream);

  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<http::client>> clients_;
};

}  // namespace chivecrank::upstreams

#endif  // CHIVECRANK_UPSTREAMS_HTTP_UPSTREAM_CLIENT_H_
