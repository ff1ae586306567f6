#include "chivecrank/workers/http_agent.h"

#include "chivecrank/workers/agent_codec.h"

namespace chivecrank::workers {

http_agent::http_agent(std::chrono::milliseconds timeout) : timeout_(timeout) {}

base::result<sync_report> http_agent::Sync(const settings::endpoint& worker,
                                           const sync_command& command) {
  BOOST_OUTCOME_TRY(
      answer, ClientOf(worker)->PostJson("/v1/tasks/sync", EncodeSync(command),
                                         timeout_));
  return DecodeReport(answer);
}

std::shared_ptr<http::client> http_agent::ClientOf(
    const settings::endpoint& worker) {
  std::lock_guard lock(mutex_);
  std::shared_ptr<http::client>& client = clients_[settings::ToString(worker)];
  if (!client)
    client = std::make_shared<http::client>(worker);
  return client;
}

}  // namespace chivecrank::workers
