#ifndef CHIVECRANK_SCHEDULING_SIZE_LEARNER_H_
#define CHIVECRANK_SCHEDULING_SIZE_LEARNER_H_

#include <map>
#include <string>

#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// The highest use that a worker saw of one attempt.
struct usage_sample {
  std::string template_name;
  coordination::resources peak;
  /// Whether its limit held the attempt back or ended it, so that it may need
  /// more than `peak`.
  bool processors_limited = false;
  bool memory_limited = false;
};

/// Sizes and run times of each template as they were measured.
class size_learner {
 public:
  void Observe(const usage_sample& sample);
  /// A task of the template ran this long in all, and was done.
  void ObserveRunTime(const std::string& template_name,
                      std::chrono::milliseconds run_time);

  /// What an attempt should be granted: the larger of what was declared and
  /// what was measured.
  coordination::resources SizeOf(const task_request& request) const;

  /// The measured run time once a few tasks were done, else the declared one.
  std::chrono::milliseconds RunTimeOf(const task_request& request) const;

 private:
  struct record {
    /// Highest peaks seen, with a margin.
    coordination::resources peak;
    /// Sizes to try next, after attempts that ran into their limits; 0 once an
    /// attempt stayed below its limit.
    coordination::resources probe;
    double mean_run_time_ms = 0;
    int runs = 0;
  };

  std::map<std::string, record> templates_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_SIZE_LEARNER_H_
