#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_TIME_ESTIMATOR_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_TIME_ESTIMATOR_H_

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions::internal {

/// Completed runs of one step: their number and the sum of the logarithms of
/// their run times in milliseconds.
struct measured_runs {
  std::int32_t count = 0;
  double log_sum = 0;
};

/// Estimates the run time of a step's tasks. Declared estimates are rough, so
/// an estimate is weighted against the typical run time of the queue by how far
/// either was off before; measured runs of the step itself take precedence over
/// both. Run times are modelled as log-normal.
class run_time_estimator {
 public:
  /// Records a run of the step that completed after `run_time`. The run must
  /// have started without a checkpoint and run at full speed.
  void Observe(const std::string& queue,
               const step_request& step,
               measured_runs& measured,
               std::chrono::milliseconds run_time);

  /// Expected run time of a task of the step.
  std::chrono::milliseconds Expect(const std::string& queue,
                                   const step_request& step,
                                   const measured_runs& measured) const;

 private:
  /// Weighted mean and variance in which older samples decay.
  struct decaying_stats {
    double weight = 0;
    double mean = 0;
    double variance = 0;

    void Add(double value, double sample_weight);
    /// The mean, shrunk towards 0 while there are few samples.
    double ShrunkMean() const;
    /// The variance, smoothed with an assumed prior variance.
    double SmoothedVariance(double prior) const;
  };
  struct queue_history {
    /// Logarithms of run times, and of the ratio of run time to declared
    /// estimate.
    decaying_stats run_time;
    decaying_stats estimate_error;
  };

  absl::flat_hash_map<std::string, queue_history> queues_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_TIME_ESTIMATOR_H_
