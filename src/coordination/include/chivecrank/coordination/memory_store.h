#ifndef CHIVECRANK_COORDINATION_MEMORY_STORE_H_
#define CHIVECRANK_COORDINATION_MEMORY_STORE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/store.h"

namespace chivecrank::coordination {

/// An in-memory store, used by the stand-in platform and as a fake in unit
/// tests. Watches return at once. Thread-safe.
class memory_store : public store {
 public:
  explicit memory_store(base::clock& clock);

  base::result<std::optional<store_entry>> Get(call_class purpose,
                                               const std::string& key) override;
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
  struct lease_state {
    std::chrono::milliseconds term{0};
    base::time_point expires_at;
  };

  void ExpireLeases();
  void DeleteKeysOf(lease_id lease);
  void AppendChange(change_kind kind, const store_entry& entry);

  base::clock& clock_;
  std::mutex mutex_;
  std::map<std::string, store_entry> entries_;
  std::map<lease_id, lease_state> leases_;
  std::deque<store_change> changes_;
  revision revision_ = 0;
  revision last_dropped_revision_ = 0;
  lease_id last_lease_ = 0;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_MEMORY_STORE_H_
