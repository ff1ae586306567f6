#include "chivecrank/routing/upstream_health.h"

#include <algorithm>

namespace chivecrank::routing {
namespace {

/// Weight of a sample once many are known.
constexpr double kWeight = 0.08;
constexpr std::int64_t kLongestDoubling = 5;

double ToMs(base::duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace

upstream_health::upstream_health(const health_options& options)
    : options_(options), trial_pause_(options.first_trial) {}

void upstream_health::Learn(slot_outcome outcome, base::duration latency) {
  if (outcome != slot_outcome::kAnswered) {
    ++failures_;
    if (outcome == slot_outcome::kAbandoned)
      LearnUnanswered(latency);
    return;
  }
  failures_ = 0;
  ejections_ = 0;
  ++samples_;
  const double weight = std::max(kWeight, 1.0 / static_cast<double>(samples_));
  latency_ms_ += weight * (ToMs(latency) - latency_ms_);
}

void upstream_health::LearnUnanswered(base::duration age) {
  if (ToMs(age) <= latency_ms_)
    return;
  ++samples_;
  latency_ms_ += kWeight * (ToMs(age) - latency_ms_);
}

void upstream_health::Eject(base::time_point now) {
  const std::chrono::milliseconds term =
      std::min(options_.longest_ejection,
               options_.first_ejection *
                   (std::int64_t{1} << std::min(ejections_, kLongestDoubling)));
  ++ejections_;
  ejected_until_ = now + term;
  // It has all failures but one left, so that the next one ejects it again.
  failures_ = options_.failures - 1;
  slow_start_ = ejected_until_;
  starting_ = true;
}

void upstream_health::TakeBack(base::time_point now) {
  ejected_until_ = now;
  slow_start_ = now;
}

void upstream_health::StartSlowly(base::time_point now) {
  slow_start_ = now;
  starting_ = true;
}

std::int64_t upstream_health::Allowed(std::int64_t slots,
                                      base::time_point now) const {
  if (IsEjected(now))
    return 0;
  if (!starting_ || now >= slow_start_ + options_.slow_start)
    return slots;
  const double elapsed = ToMs(now - slow_start_) / ToMs(options_.slow_start);
  return std::clamp<std::int64_t>(
      1 + static_cast<std::int64_t>(elapsed * static_cast<double>(slots)), 0,
      slots);
}

void upstream_health::StartTrial(base::time_point now) {
  next_trial_ = now + trial_pause_;
  trial_pause_ = std::min(options_.longest_trial, trial_pause_ * 2);
}

}  // namespace chivecrank::routing
