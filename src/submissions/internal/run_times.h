#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_TIMES_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_TIMES_H_

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions::internal {

/// What the runs of one step have taken so far, as logarithms of milliseconds.
struct measured_runs {
  std::int32_t count = 0;
  double sum = 0;
};

/// How long the tasks of a step will run. Declared estimates are rough, so
/// each is weighed against what the queue's tasks usually take, by how far
/// either was off so far; what the step's own runs took goes before both.
/// Run times are taken as log-normal.
class run_times {
 public:
  /// A run of the step ended as done after `took`, at full speed and from the
  /// beginning.
  void Observe(const std::string& queue,
               const step_request& step,
               measured_runs& measured,
               std::chrono::milliseconds took);

  /// The run time to expect of a task of the step.
  std::chrono::milliseconds Expect(const std::string& queue,
                                   const step_request& step,
                                   const measured_runs& measured) const;

 private:
  /// Mean and variance of samples that fade as others come.
  struct fading_sample {
    double weight = 0;
    double mean = 0;
    double variance = 0;

    void Add(double value, double by);
    /// The mean, drawn towards 0 while there are few samples.
    double MeanFromZero() const;
    /// The variance, with one that is assumed before there are samples.
    double VarianceFrom(double assumed) const;
  };
  struct queue_history {
    /// Logarithms of run times, and of run times over their estimates.
    fading_sample usual;
    fading_sample error;
  };

  absl::flat_hash_map<std::string, queue_history> queues_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_RUN_TIMES_H_
