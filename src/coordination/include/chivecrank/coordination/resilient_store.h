#ifndef CHIVECRANK_COORDINATION_RESILIENT_STORE_H_
#define CHIVECRANK_COORDINATION_RESILIENT_STORE_H_

#include <array>
#include <functional>
#include <mutex>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/call_budget.h"
#include "chivecrank/coordination/circuit.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/coordination/store_metrics.h"

namespace chivecrank::coordination {

/// Bounds of the store calls of one process.
struct resilient_store_settings {
  call_rate ownership{100, 200};
  call_rate journal{100, 200};
  call_rate intent{150, 300};
  call_rate configuration{50, 100};
  call_rate watch{50, 100};
  /// Watches that wait at the same time.
  std::size_t waiting_watches = 16;
  /// Time that a call may wait for its budget, and a read for its retries.
  std::chrono::milliseconds deadline{1000};
  /// Attempts of a read, the first included.
  int read_attempts = 3;
  std::chrono::milliseconds retry_pause{20};
  circuit_settings circuit;
  std::uint64_t seed = 1;
};

/// Puts bounds around another store: a budget for each class, a circuit that
/// opens after failures in a row, retries of reads, and a read-back of writes
/// whose answer was lost. Calls of the class ownership and of leases pass an
/// open circuit, since a lease that is not renewed at once is lost.
/// A call that was not sent fails with kUnavailable.
class resilient_store final : public store {
 public:
  resilient_store(store& inner,
                  base::clock& clock,
                  store_metrics& metrics,
                  resilient_store_settings settings);

  base::result<std::optional<store_entry>> Get(call_class purpose,
                                               const std::string& key) override;
  /// After a lost answer the key is read: when it holds exactly the value
  /// written, under a newer version, the write took effect.
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
  auto Run(call_class purpose, const std::string& operation, const Call& call)
      -> decltype(call());
  template <class Call>
  auto Read(call_class purpose, const std::string& operation, const Call& call)
      -> decltype(call());

  base::result<void> Admit(call_class purpose);
  void Ended(call_class purpose,
             const std::string& operation,
             const base::error* failure,
             base::time_point began);

  store& inner_;
  base::clock& clock_;
  store_metrics& metrics_;
  const resilient_store_settings settings_;
  std::mutex mutex_;
  std::array<call_budget, 5> budgets_;
  circuit circuit_;
  std::size_t waiting_watches_ = 0;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_RESILIENT_STORE_H_
