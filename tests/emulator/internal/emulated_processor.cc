#include "chivecrank/emulator/emulated_processor.h"

#include <algorithm>
#include <utility>

namespace chivecrank::emulator {
namespace {

constexpr std::int64_t kWholeCoreMilli = 1000;

}  // namespace

emulated_processor::emulated_processor(base::clock& clock,
                                       std::int64_t share_milli,
                                       processor_costs costs)
    : loop_(clock), share_milli_(share_milli), costs_(costs) {}

void emulated_processor::Deliver(std::size_t items,
                                 std::function<void()> handle) {
  messages_.push_back({items, std::move(handle)});
}

void emulated_processor::DeliverAfter(reactor::event_loop& network,
                                      std::chrono::milliseconds delay,
                                      std::size_t items,
                                      std::function<void()> handle) {
  network.After(delay, [this, items, handle = std::move(handle)] {
    Deliver(items, handle);
  });
}

std::optional<base::time_point> emulated_processor::NextTurn() const {
  if (frozen_)
    return std::nullopt;
  if (!messages_.empty())
    return std::max(loop_.Now(), busy_until_);
  const auto timer = loop_.NextDue();
  if (!timer)
    return std::nullopt;
  return std::max(*timer, busy_until_);
}

void emulated_processor::RunTurn() {
  if (IsBusy())
    return;
  const auto timer = loop_.NextDue();
  if (timer && *timer <= loop_.Now())
    loop_.RunOnce(base::duration::zero());
  while (!messages_.empty() && !IsBusy()) {
    const message next = std::move(messages_.front());
    messages_.pop_front();
    Charge(next.items);
    next.handle();
  }
}

void emulated_processor::Charge(std::size_t items) {
  const auto on_whole_core =
      costs_.per_message + static_cast<std::int64_t>(items) * costs_.per_item;
  busy_until_ = std::max(busy_until_, loop_.Now()) +
                on_whole_core * kWholeCoreMilli / share_milli_;
}

}  // namespace chivecrank::emulator
