#ifndef CHIVECRANK_SCHEDULING_SIZE_LEARNER_H_
#define CHIVECRANK_SCHEDULING_SIZE_LEARNER_H_

#include <map>
#include <string>

#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// The highest use that a worker saw of one attempt.
struct usage_sample {
  std::string template_name;
  platform::resources peak;
  /// Whether the attempt was held back or ended by its processor or memory
  /// limit, so that it may need more than `peak`.
  bool limited = false;
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
  platform::resources SizeOf(const task_request& request) const;

  /// The measured run time once a few tasks were done, else the declared one.
  std::chrono::milliseconds RunTimeOf(const task_request& request) const;

 private:
  struct record {
    platform::resources peak;
    double mean_run_time_ms = 0;
    int runs = 0;
  };

  std::map<std::string, record> templates_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_SIZE_LEARNER_H_
