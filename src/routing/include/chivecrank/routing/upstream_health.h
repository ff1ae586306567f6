#ifndef CHIVECRANK_ROUTING_UPSTREAM_HEALTH_H_
#define CHIVECRANK_ROUTING_UPSTREAM_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "chivecrank/base/clock.h"
#include "chivecrank/routing/types.h"

namespace chivecrank::routing {

/// What one entry has learned about one upstream from its own requests.
class upstream_health {
 public:
  explicit upstream_health(const health_options& options);

  /// Learns from a request that ended.
  void Learn(slot_outcome outcome, base::duration latency);

  /// Ejects the upstream, each time for longer.
  void Eject(base::time_point now);
  /// Takes it back now, whatever its failures were.
  void TakeBack(base::time_point now);
  /// Starts the gradual return of its slots.
  void StartSlowly(base::time_point now);

  /// Whether it has failed often enough in a row to be ejected.
  bool IsFailing() const { return failures_ >= options_.failures; }
  bool IsEjected(base::time_point now) const { return now < ejected_until_; }
  base::time_point EjectedUntil() const { return ejected_until_; }

  /// Slots out of `slots` that it may use now.
  std::int64_t Allowed(std::int64_t slots, base::time_point now) const;

  /// Whether a request may measure it again although it is avoided.
  bool IsTrialDue(base::time_point now) const { return now >= next_trial_; }
  void StartTrial(base::time_point now);
  /// It is not avoided any more.
  void EndTrials() { trial_pause_ = options_.first_trial; }

  bool HasLatency() const { return samples_ > 0; }
  /// Learned time from sending to the whole answer, in milliseconds.
  double LatencyMs() const { return latency_ms_; }

 private:
  void LearnUnanswered(base::duration age);

  const health_options options_;
  double latency_ms_ = 0;
  std::int64_t samples_ = 0;
  std::int64_t failures_ = 0;
  std::int64_t ejections_ = 0;
  base::time_point ejected_until_{};
  base::time_point slow_start_{};
  bool starting_ = false;
  base::time_point next_trial_{};
  std::chrono::milliseconds trial_pause_;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_UPSTREAM_HEALTH_H_
