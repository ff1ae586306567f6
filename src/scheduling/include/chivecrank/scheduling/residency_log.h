#ifndef CHIVECRANK_SCHEDULING_RESIDENCY_LOG_H_
#define CHIVECRANK_SCHEDULING_RESIDENCY_LOG_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/scheduling/interference_model.h"

namespace chivecrank::scheduling {

/// History of the batch work on each worker, so that a late measurement is
/// attributed to the work that ran during its window.
class residency_log {
 public:
  /// `retention`: how long ended work is kept, and so how late a measurement
  /// may arrive.
  explicit residency_log(std::chrono::seconds retention);

  /// Records that the task uses `share` of the worker's processors from `now`.
  void Set(const std::string& worker_id,
           const std::string& task_id,
           const std::string& batch_template,
           double share,
           base::wall_time now);
  /// Records that the task uses nothing of the worker from `now`.
  void End(const std::string& worker_id,
           const std::string& task_id,
           base::wall_time now);

  /// Mean share of the worker's processors per template between two times.
  std::vector<exposure> MeanExposures(const std::string& worker_id,
                                      base::wall_time from,
                                      base::wall_time to) const;

 private:
  struct residency_interval {
    std::string task_id;
    std::string batch_template;
    double share = 0;
    base::wall_time from;
    base::wall_time to = base::wall_time::max();
  };

  const std::chrono::seconds retention_;
  std::map<std::string, std::deque<residency_interval>> workers_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_RESIDENCY_LOG_H_
