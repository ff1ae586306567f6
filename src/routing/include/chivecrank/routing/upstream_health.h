#ifndef CHIVECRANK_ROUTING_UPSTREAM_HEALTH_H_
#define CHIVECRANK_ROUTING_UPSTREAM_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "chivecrank/base/clock.h"
#include "chivecrank/routing/types.h"

namespace chivecrank::routing {

/// Latency, failures and ejection state of one upstream, as seen by one entry's
/// own requests.
class upstream_health {
 public:
  explicit upstream_health(const health_options& options);

  /// Updates the latency estimate and the failure count. `latency` is the time
  /// from sending the request to `outcome`.
  void RecordOutcome(slot_outcome outcome, base::duration latency);

  /// Ejects the upstream; each further ejection without an answer in between
  /// lasts longer.
  void Eject(base::time_point now);
  /// Ends the ejection now; the failure count stays.
  void Readmit(base::time_point now);
  /// Makes its slots available gradually from now on.
  void BeginSlowStart(base::time_point now);

  /// Whether it has had enough consecutive failures to be ejected.
  bool IsFailing() const { return failures_ >= options_.ejection_threshold; }
  bool IsEjected(base::time_point now) const { return now < ejected_until_; }
  base::time_point EjectedUntil() const { return ejected_until_; }

  /// How many of its `slots` slots may be used now.
  std::int64_t AllowedSlots(std::int64_t slots, base::time_point now) const;

  /// Whether an avoided upstream may get a request now to measure it again.
  bool IsTrialDue(base::time_point now) const { return now >= next_trial_; }
  void StartTrial(base::time_point now);
  /// The upstream is no longer avoided: the next trial interval is the initial
  /// one.
  void ResetTrialInterval() {
    trial_interval_ = options_.initial_trial_interval;
  }

  bool HasLatency() const { return samples_ > 0; }
  /// Estimated time from sending a request to its complete answer.
  double LatencyMs() const { return latency_ms_; }

 private:
  void RecordUnanswered(base::duration age);

  const health_options options_;
  double latency_ms_ = 0;
  std::int64_t samples_ = 0;
  std::int64_t failures_ = 0;
  std::int64_t ejections_ = 0;
  base::time_point ejected_until_{};
  base::time_point slow_start_at_{};
  bool in_slow_start_ = false;
  base::time_point next_trial_{};
  std::chrono::milliseconds trial_interval_;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_UPSTREAM_HEALTH_H_
