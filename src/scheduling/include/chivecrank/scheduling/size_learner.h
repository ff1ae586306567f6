#ifndef CHIVECRANK_SCHEDULING_SIZE_LEARNER_H_
#define CHIVECRANK_SCHEDULING_SIZE_LEARNER_H_

#include <map>
#include <string>

#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// Peak resource usage of one attempt, measured by its worker.
struct usage_sample {
  std::string template_name;
  coordination::resources peak;
  /// Whether a limit slowed down or ended the attempt, so that it may need more
  /// than `peak`.
  bool processors_limited = false;
  bool memory_limited = false;
};

/// Learns the size and run time of each template from measurements.
class size_learner {
 public:
  void Observe(const usage_sample& sample);
  /// Records the total run time, over all attempts, of a task that completed.
  void ObserveRunTime(const std::string& template_name,
                      std::chrono::milliseconds run_time);

  /// Resources to grant to an attempt: the maximum of the declared demand and
  /// the measured size in each dimension.
  coordination::resources SizeOf(const task_request& request) const;

  /// The mean measured run time once enough tasks have completed, else the
  /// declared one.
  std::chrono::milliseconds RunTimeOf(const task_request& request) const;

 private:
  struct template_record {
    /// Highest measured peaks plus a margin.
    coordination::resources peak;
    /// Sizes to try next after attempts that reached their limits; 0 once an
    /// attempt stayed below its limit.
    coordination::resources trial;
    double mean_run_time_ms = 0;
    int runs = 0;
  };

  std::map<std::string, template_record> templates_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_SIZE_LEARNER_H_
