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

/// The slots of this entry and the requests that wait for them. Safe to use
/// from several threads.
class slot_pool {
 public:
  /// Slots are usable at once when `predecessor` is false, otherwise once the
  /// requests and loans of an earlier process have ended for certain.
  slot_pool(base::clock& clock,
            const routing::entry_position& share,
            const routing::router_options& options,
            bool predecessor);

  void Update(const std::vector<coordination::instance>& upstreams);

  /// Waits for a slot, or is refused as soon as it is clear that none comes
  /// in time.
  slot_result Acquire(const slot_demand& wait);
  /// Gives a slot back.
  void Release(const held_slot& slot, routing::slot_outcome outcome);

  /// An upstream answered a probe that was sent at `sent`.
  void RecordProbeAnswer(const std::string& upstream_id, base::time_point sent);
  /// Upstreams whose slots are held back until they answer a probe.
  std::vector<coordination::instance> UpstreamsToProbe();

  /// Messages for other entries.
  std::vector<routing::outgoing_exchange> PlanExchanges();
  routing::exchange_answer HandleRequest(
      const routing::exchange_request& request);
  void HandleAnswer(const routing::outgoing_exchange& sent,
                    const std::optional<routing::exchange_answer>& answer);

  /// Waits until a request lacks a slot, `longest` at most.
  void WaitForShortage(std::chrono::milliseconds longest);

  /// Gives back what is borrowed, waiting `longest` at most. Call it when no
  /// request is left and while the pool's messages are still carried.
  void ReturnBorrowed(std::chrono::milliseconds longest);

  /// Whether own slots may be used already.
  bool IsUsable() const;
  pool_totals Totals();

 private:
  struct waiter {
    std::condition_variable changed;
    const slot_demand* wait = nullptr;
    bool decided = false;
    slot_result answer;
  };
  using queue_map = std::map<std::string, admission::request_queue>;

  admission::service_capacity Capacity(base::time_point now);
  void Pump(base::time_point now);
  queue_map::iterator NextQueue();
  void Refuse(const admission::refusal& refused);
  void Decide(admission::request_number number, slot_result answer);
  std::int64_t Waiting() const;

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
