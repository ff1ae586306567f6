#include "chivecrank/admission/drain_rate.h"

#include <algorithm>

namespace chivecrank::admission {
namespace {

constexpr std::chrono::milliseconds kMeasurementWindow{50};
/// Older measurements are not used.
constexpr std::chrono::milliseconds kMaxMeasurementAge{200};
constexpr std::int64_t kMinDequeues = 5;
constexpr double kNewMeasurementWeight = 0.5;
constexpr double kMinLatencySeconds = 0.001;

double ToSeconds(base::duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

void drain_rate::RecordDequeue(base::time_point now) {
  if (now >= window_start_ + kMeasurementWindow)
    CloseWindow(now);
  ++dequeued_;
}

void drain_rate::CloseWindow(base::time_point now) {
  const base::duration length = now - window_start_;
  if (length < kMaxMeasurementAge && dequeued_ >= kMinDequeues) {
    const double rate = static_cast<double>(dequeued_) / ToSeconds(length);
    const bool is_outdated = now >= measured_at_ + kMaxMeasurementAge;
    measured_rate_ = is_outdated ? rate
                                 : measured_rate_ + kNewMeasurementWeight *
                                                        (rate - measured_rate_);
    measured_at_ = now;
  }
  window_start_ = now;
  dequeued_ = 0;
}

double drain_rate::RequestsPerSecond(const service_capacity& capacity,
                                     base::time_point now) {
  if (measured_rate_ > 0 && now < measured_at_ + kMaxMeasurementAge)
    return measured_rate_;
  const double latency =
      std::max(kMinLatencySeconds, ToSeconds(capacity.latency));
  return static_cast<double>(std::max<std::int64_t>(1, capacity.slots)) /
         latency;
}

}  // namespace chivecrank::admission
