#include "chivecrank/admission/drain_rate.h"

#include <algorithm>

namespace chivecrank::admission {
namespace {

constexpr std::chrono::milliseconds kWindow{50};
/// An older measurement is not used.
constexpr std::chrono::milliseconds kOld{200};
constexpr std::int64_t kFewest = 5;
constexpr double kWeight = 0.5;
constexpr double kShortestLatencySeconds = 0.001;

double ToSeconds(base::duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

void drain_rate::Count(base::time_point now) {
  if (now >= window_start_ + kWindow)
    CloseWindow(now);
  ++counted_;
}

void drain_rate::CloseWindow(base::time_point now) {
  const base::duration length = now - window_start_;
  if (length < kOld && counted_ >= kFewest) {
    const double rate = static_cast<double>(counted_) / ToSeconds(length);
    const bool is_old = now >= measured_at_ + kOld;
    measured_ = is_old ? rate : measured_ + kWeight * (rate - measured_);
    measured_at_ = now;
  }
  window_start_ = now;
  counted_ = 0;
}

double drain_rate::PerSecond(const service_capacity& capacity,
                             base::time_point now) {
  if (measured_ > 0 && now < measured_at_ + kOld)
    return measured_;
  const double latency =
      std::max(kShortestLatencySeconds, ToSeconds(capacity.latency));
  return static_cast<double>(std::max<std::int64_t>(1, capacity.slots)) /
         latency;
}

}  // namespace chivecrank::admission
