#ifndef CHIVECRANK_ENTRIES_SLOT_POOL_H_
#define CHIVECRANK_ENTRIES_SLOT_POOL_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/admission/request_queue.h"
#include "chivecrank/base/clock.h"
#include "chivecrank/entries/types.h"
#include "chivecrank/routing/slot_router.h"

namespace chivecrank::entries {

/// Slots of this entry and the requests that wait for them. Thread-safe.
class slot_pool {
 public:
  /// If an earlier process of this entry may have used the slots
  /// (`has_predecessor`), they are usable only when its requests and leases
  /// have certainly ended; otherwise at once.
  slot_pool(base::clock& clock,
            const routing::entry_position& position,
            const routing::router_options& options,
            bool has_predecessor);

  void Update(const std::vector<coordination::instance>& upstreams);

  /// Blocks until a slot is free, or refuses as soon as it is clear that none
  /// will be free in time.
  slot_result Acquire(const slot_demand& demand);
  void Release(const held_slot& slot, routing::slot_outcome outcome);

  /// An upstream answered a probe that was sent at `sent`.
  void RecordProbeAnswer(const std::string& upstream_id, base::time_point sent);
  /// Upstreams with quarantined slots that wait for a probe answer.
  std::vector<coordination::instance> UpstreamsToProbe();

  /// Returns the messages that are due to other entries.
  std::vector<routing::outgoing_exchange> PlanExchanges();
  routing::exchange_answer HandleRequest(
      const routing::exchange_request& request);
  void HandleAnswer(const routing::outgoing_exchange& sent,
                    const std::optional<routing::exchange_answer>& answer);

  /// Blocks until a request lacks a slot, for at most `timeout`.
  void WaitForShortage(std::chrono::milliseconds timeout);

  /// Returns all borrowed slots and waits for that for at most `timeout`. Call
  /// it when no requests are left and while the pool's messages are still being
  /// delivered.
  void ReturnBorrowed(std::chrono::milliseconds timeout);

  /// Whether this entry's own slots may be used yet.
  bool IsUsable() const;
  pool_totals Totals();

 private:
  struct waiter {
    std::condition_variable wake_up;
    const slot_demand* demand = nullptr;
    bool decided = false;
    slot_result answer;
  };
  using queue_map = std::map<std::string, admission::request_queue>;

  admission::service_capacity CurrentCapacity(base::time_point now);
  void ServeWaiting(base::time_point now);
  queue_map::iterator QueueWithEarliestDeadline();
  void Refuse(const admission::refusal& refused);
  void Decide(admission::request_number number, slot_result answer);
  std::int64_t CountWaiting() const;

  base::clock& clock_;
  const base::time_point usable_from_;
  mutable std::mutex mutex_;
  std::condition_variable shortage_;
  routing::slot_router router_;
  queue_map queues_;
  std::map<admission::request_number, waiter*> waiters_;
  admission::request_number last_number_ = 0;
  pool_totals totals_;
};

}  // namespace chivecrank::entries

#endif  // CHIVECRANK_ENTRIES_SLOT_POOL_H_
