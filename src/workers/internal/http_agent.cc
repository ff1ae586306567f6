#include "chivecrank/workers/http_agent.h"

#include "chivecrank/workers/agent_codec.h"

namespace chivecrank::workers {

http_agent::http_agent(std::chrono::milliseconds timeout) : timeout_(timeout) {}

base::result<void> http_agent::Start(const settings::endpoint& worker,
                                     const start_command& command) {
  BOOST_OUTCOME_TRY(ClientOf(worker)->PostJson("/v1/tasks/start",
                                               EncodeStart(command), timeout_));
  return base::Success();
}

base::result<void> http_agent::Stop(const settings::endpoint& worker,
                                    const stop_command& command) {
  BOOST_OUTCOME_TRY(ClientOf(worker)->PostJson("/v1/tasks/stop",
                                               EncodeStop(command), timeout_));
  return base::Success();
}

base::result<inventory> http_agent::Sync(const settings::endpoint& worker,
                                         const sync_command& command) {
  BOOST_OUTCOME_TRY(
      answer, ClientOf(worker)->PostJson("/v1/tasks/sync", EncodeSync(command),
                                         timeout_));
  return DecodeInventory(answer);
}

std::shared_ptr<http::client> http_agent::ClientOf(
    const settings::endpoint& worker) {
  std::lock_guard lock(mutex_);
  std::shared_ptr<http::client>& known = clients_[settings::ToString(worker)];
  if (!known)
    known = std::make_shared<http::client>(worker);
  return known;
}

}  // namespace chivecrank::workers
