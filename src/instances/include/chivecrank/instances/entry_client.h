#ifndef CHIVECRANK_INSTANCES_ENTRY_CLIENT_H_
#define CHIVECRANK_INSTANCES_ENTRY_CLIENT_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "chivecrank/idempotency/home_client.h"

namespace chivecrank::instances {

/// Calls the homes of other entries over kept Thrift connections.
class entry_client final : public idempotency::home_client {
 public:
  /// `timeout` bounds each call, beyond the time that Begin may wait.
  explicit entry_client(std::chrono::milliseconds timeout);
  ~entry_client() override;

  base::result<idempotency::decision> Begin(
      const settings::endpoint& entry,
      const idempotency::arrival& request,
      idempotency::time_limits limits) override;
  base::result<void> Finish(const settings::endpoint& entry,
                            const idempotency::log_entry& ended) override;
  base::result<idempotency::key_report> Describe(
      const settings::endpoint& entry,
      const std::string& request_id) override;
  base::result<void> Ping(const settings::endpoint& entry) override;

 private:
  struct connection;

  /// Makes a call on a kept connection or a new one. When a kept one turns
  /// out closed, the others to that entry are dropped too.
  template <class Call>
  base::result<void> Run(const settings::endpoint& entry,
                         std::chrono::milliseconds timeout,
                         const Call& call);
  std::unique_ptr<connection> Take(const settings::endpoint& entry);
  void Keep(const settings::endpoint& entry, std::unique_ptr<connection> used);

  const std::chrono::milliseconds timeout_;
  std::mutex mutex_;
  std::map<std::string, std::vector<std::unique_ptr<connection>>> idle_;
};

}  // namespace chivecrank::instances

#endif  // CHIVECRANK_INSTANCES_ENTRY_CLIENT_H_
