#ifndef CHIVECRANK_COORDINATION_RESILIENT_STORE_H_
#define CHIVECRANK_COORDINATION_RESILIENT_STORE_H_

#include <array>
#include <functional>
#include <mutex>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/circuit_breaker.h"
#include "chivecrank/coordination/rate_limiter.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/coordination/store_metrics.h"

namespace chivecrank::coordination {

/// Limits for the store calls of one process.
struct resilient_store_settings {
  /// Rate limit of each call class: calls per second, and the number of calls
  /// that may be sent at once after an idle time.
  rate_limit ownership{100, 200};
  rate_limit journal{100, 200};
  rate_limit intent{150, 300};
  rate_limit configuration{50, 100};
  rate_limit watch{50, 100};
  /// Maximum number of watches that wait in the store at the same time.
  std::size_t max_waiting_watches = 16;
  /// Maximum time that a call waits for its rate limit, and maximum total time
  /// of a read with its retries.
  std::chrono::milliseconds deadline{1000};
  /// Maximum attempts of a read, including the first.
  int max_read_attempts = 3;
  std::chrono::milliseconds initial_retry_delay{20};
  circuit_breaker_settings circuit_breaker;
  std::uint64_t seed = 1;
};

/// Wraps another store with a rate limit per call class, a circuit breaker,
/// retries of reads, and a read-back of writes whose response was lost. Lease
/// calls and calls of the class ownership are sent even if the circuit is open,
/// because a lease that is not renewed in time is lost. A call that was not
/// sent fails with kUnavailable.
class resilient_store final : public store {
 public:
  resilient_store(store& inner,
                  base::clock& clock,
                  store_metrics& metrics,
                  resilient_store_settings settings);

  base::result<std::optional<store_entry>> Get(call_class purpose,
                                               const std::string& key) override;
  /// If the response is lost, reads the key. The write took effect if the key
  /// has the written value and lease at a version newer than the expected one.
  base::result<version> Put(call_class purpose,
                            const put_request& write) override;
  base::result<void> Delete(call_class purpose,
                            const std::string& key,
                            version expected) override;
  base::result<store_listing> List(call_class purpose,
                                   const std::string& prefix) override;
  base::result<watch_answer> Watch(const watch_request& request) override;
  base::result<lease_id> GrantLease(std::chrono::milliseconds term) override;
  base::result<void> RenewLease(lease_id lease) override;
  base::result<void> RevokeLease(lease_id lease) override;

 private:
  template <class Call>
  auto SendOnce(call_class purpose,
                const std::string& operation,
                const Call& call) -> decltype(call());
  template <class Call>
  auto SendWithRetries(call_class purpose,
                       const std::string& operation,
                       const Call& call) -> decltype(call());

  base::result<void> Admit(call_class purpose);
  void RecordOutcome(call_class purpose,
                     const std::string& operation,
                     const base::error* failure,
                     base::time_point started_at);

  store& inner_;
  base::clock& clock_;
  store_metrics& metrics_;
  const resilient_store_settings settings_;
  std::mutex mutex_;
  std::array<rate_limiter, 5> rate_limiters_;
  circuit_breaker circuit_breaker_;
  std::size_t waiting_watches_ = 0;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_RESILIENT_STORE_H_
