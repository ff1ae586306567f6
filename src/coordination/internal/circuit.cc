#include "chivecrank/coordination/circuit.h"

#include <algorithm>

namespace chivecrank::coordination {

circuit::circuit(circuit_settings settings, std::uint64_t seed)
    : settings_(settings), random_(seed), pause_(settings.first_pause) {}

bool circuit::Allows(base::time_point now) {
  if (!open_)
    return true;
  if (now < next_try_)
    return false;
  // The next one waits for the result of this one, or for another pause.
  next_try_ = now + pause_;
  return true;
}

void circuit::Ended(bool answered, base::time_point now) {
  if (answered) {
    open_ = false;
    failures_ = 0;
    pause_ = settings_.first_pause;
    return;
  }
  ++failures_;
  if (failures_ < settings_.failures)
    return;
  if (open_)
    pause_ = std::min(pause_ * 2, settings_.longest_pause);
  open_ = true;
  std::uniform_int_distribution<std::int64_t> jittered(pause_.count() / 2,
                                                       pause_.count());
  next_try_ = now + std::chrono::milliseconds(jittered(random_));
}

}  // namespace chivecrank::coordination
