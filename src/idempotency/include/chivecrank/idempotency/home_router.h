#ifndef CHIVECRANK_IDEMPOTENCY_HOME_ROUTER_H_
#define CHIVECRANK_IDEMPOTENCY_HOME_ROUTER_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "chivecrank/idempotency/home_manager.h"
#include "chivecrank/idempotency/request_gate.h"

namespace chivecrank::idempotency {

/// Request gate of an entry: asks the home of each key, here or at another
/// entry, until the home decides.
class home_router final : public request_gate {
 public:
  home_router(entry_identity self,
              home_settings settings,
              base::clock& clock,
              home_manager& homes,
              home_client& peers);
  ~home_router() override;
  home_router(const home_router&) = delete;
  home_router& operator=(const home_router&) = delete;

  decision Admit(arrival& request, base::time_point deadline) override;
  void Finish(const log_entry& outcome) override;
  base::result<key_report> Describe(const std::string& request_id,
                                    base::time_point deadline) override;

  /// Sends the pending outcomes to their homes, for at most `limit`, and stops.
  void Stop(std::chrono::milliseconds limit);

 private:
  struct pending_outcome {
    log_entry outcome;
    base::time_point give_up_at;
  };

  base::result<decision> AskHome(const arrival& request, time_limits limits);
  base::result<void> SendOutcome(const log_entry& outcome);
  void RunReporting();
  std::chrono::milliseconds TimeUntil(base::time_point deadline) const;

  const entry_identity self_;
  const home_settings settings_;
  base::clock& clock_;
  home_manager& homes_;
  home_client& peers_;
  std::atomic<std::uint64_t> arrival_count_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<pending_outcome> pending_outcomes_;
  bool stopping_ = false;
  std::thread reporting_thread_;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_HOME_ROUTER_H_
