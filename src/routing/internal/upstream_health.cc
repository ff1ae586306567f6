#include "chivecrank/routing/upstream_health.h"

#include <algorithm>

namespace chivecrank::routing {
namespace {

/// Weight of a new sample once many have been added.
constexpr double kMinSampleWeight = 0.08;
constexpr std::int64_t kMaxDoublings = 5;

double ToMs(base::duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace

upstream_health::upstream_health(const health_options& options)
    : options_(options), trial_interval_(options.initial_trial_interval) {}

void upstream_health::RecordOutcome(slot_outcome outcome,
                                    base::duration latency) {
  if (outcome != slot_outcome::kAnswered) {
    ++failures_;
    if (outcome == slot_outcome::kAbandoned)
      RecordUnanswered(latency);
    return;
  }
  failures_ = 0;
  ejections_ = 0;
  ++samples_;
  const double weight =
      std::max(kMinSampleWeight, 1.0 / static_cast<double>(samples_));
  latency_ms_ += weight * (ToMs(latency) - latency_ms_);
}

void upstream_health::RecordUnanswered(base::duration age) {
  if (ToMs(age) <= latency_ms_)
    return;
  ++samples_;
  latency_ms_ += kMinSampleWeight * (ToMs(age) - latency_ms_);
}

void upstream_health::Eject(base::time_point now) {
  const std::chrono::milliseconds duration =
      std::min(options_.max_ejection,
               options_.initial_ejection *
                   (std::int64_t{1} << std::min(ejections_, kMaxDoublings)));
  ++ejections_;
  ejected_until_ = now + duration;
  // One failure below the threshold, so that the next failure ejects it again.
  failures_ = options_.ejection_threshold - 1;
  slow_start_at_ = ejected_until_;
  in_slow_start_ = true;
}

void upstream_health::Readmit(base::time_point now) {
  ejected_until_ = now;
  slow_start_at_ = now;
}

void upstream_health::BeginSlowStart(base::time_point now) {
  slow_start_at_ = now;
  in_slow_start_ = true;
}

std::int64_t upstream_health::AllowedSlots(std::int64_t slots,
                                           base::time_point now) const {
  if (IsEjected(now))
    return 0;
  if (!in_slow_start_ || now >= slow_start_at_ + options_.slow_start)
    return slots;
  const double elapsed = ToMs(now - slow_start_at_) / ToMs(options_.slow_start);
  return std::clamp<std::int64_t>(
      1 + static_cast<std::int64_t>(elapsed * static_cast<double>(slots)), 0,
      slots);
}

void upstream_health::StartTrial(base::time_point now) {
  next_trial_ = now + trial_interval_;
  trial_interval_ = std::min(options_.max_trial_interval, trial_interval_ * 2);
}

}  // namespace chivecrank::routing
