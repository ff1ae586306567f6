#include "chivecrank/coordination/circuit_breaker.h"

#include <algorithm>

namespace chivecrank::coordination {

circuit_breaker::circuit_breaker(circuit_breaker_settings settings,
                                 std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      open_time_(settings.initial_open_time) {}

bool circuit_breaker::AllowsCall(base::time_point now) {
  if (!open_)
    return true;
  if (now < next_trial_)
    return false;
  // The next trial call waits for the result of this one or for another open
  // time.
  next_trial_ = now + open_time_;
  return true;
}

void circuit_breaker::RecordResult(bool is_answered, base::time_point now) {
  if (is_answered) {
    open_ = false;
    failures_ = 0;
    open_time_ = settings_.initial_open_time;
    return;
  }
  ++failures_;
  if (failures_ < settings_.failure_threshold)
    return;
  if (open_)
    open_time_ = std::min(open_time_ * 2, settings_.max_open_time);
  open_ = true;
  std::uniform_int_distribution<std::int64_t> jittered(open_time_.count() / 2,
                                                       open_time_.count());
  next_trial_ = now + std::chrono::milliseconds(jittered(random_));
}

}  // namespace chivecrank::coordination
