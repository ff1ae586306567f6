#ifndef CHIVECRANK_WORKERS_HTTP_AGENT_H_
#define CHIVECRANK_WORKERS_HTTP_AGENT_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "chivecrank/http/client.h"
#include "chivecrank/workers/agent.h"

namespace chivecrank::workers {

/// Calls agents over their HTTP/JSON interface.
class http_agent final : public agent {
 public:
  explicit http_agent(std::chrono::milliseconds timeout);

  base::result<sync_report> Sync(const settings::endpoint& worker,
                                 const sync_command& command) override;

 private:
  std::shared_ptr<http::client> ClientOf(const settings::endpoint& worker);

  std::chrono::milliseconds timeout_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<http::client>> clients_;
};

}  // namespace chivecrank::workers

#endif  // CHIVECRANK_WORKERS_HTTP_AGENT_H_
