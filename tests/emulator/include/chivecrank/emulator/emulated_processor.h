#ifndef CHIVECRANK_EMULATOR_EMULATED_PROCESSOR_H_
#define CHIVECRANK_EMULATOR_EMULATED_PROCESSOR_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "chivecrank/reactor/event_loop.h"

namespace chivecrank::emulator {

/// Time on a whole core that an instance needs for what reaches it.
struct processor_costs {
  std::chrono::microseconds per_message{0};
  /// For each item of a message: a key of the store or a run on a worker.
  std::chrono::microseconds per_item{0};
};

/// The share of a core that one instance has, and the event loop that runs on
/// it. An instance with too small a share falls behind: messages wait, and its
/// timers fire late.
class emulated_processor {
 public:
  /// `share_milli`: processor time of the instance, in millicores.
  emulated_processor(base::clock& clock,
                     std::int64_t share_milli,
                     processor_costs costs);

  reactor::event_loop& Loop() { return loop_; }
  std::int64_t ShareMilli() const { return share_milli_; }

  /// Calls `handle` when the instance gets to a message of so many items.
  void Deliver(std::size_t items, std::function<void()> handle);
  /// When the instance can do something next; std::nullopt when nothing waits.
  std::optional<base::time_point> NextTurn() const;
  /// The same for a message that `network` delivers `delay` from now. The
  /// processor must exist until then.
  void DeliverAfter(reactor::event_loop& network,
                    std::chrono::milliseconds delay,
                    std::size_t items,
                    std::function<void()> handle);
  /// A frozen instance does nothing; what reaches it waits.
  void Freeze(bool frozen) { frozen_ = frozen; }
  /// Runs due timers and messages until the processor is busy.
  void RunTurn();

 private:
  struct message {
    std::size_t items = 0;
    std::function<void()> handle;
  };

  bool IsBusy() const { return frozen_ || loop_.Now() < busy_until_; }
  void Charge(std::size_t items);

  reactor::event_loop loop_;
  const std::int64_t share_milli_;
  const processor_costs costs_;
  std::deque<message> messages_;
  base::time_point busy_until_{};
  bool frozen_ = false;
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_EMULATED_PROCESSOR_H_
