#ifndef CHIVECRANK_SCHEDULING_RESIDENCY_LOG_H_
#define CHIVECRANK_SCHEDULING_RESIDENCY_LOG_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/scheduling/interference_model.h"

namespace chivecrank::scheduling {

/// What batch work ran on each worker and when, so that a late measurement is
/// credited to the work of its own time.
class residency_log {
 public:
  /// `keep`: how far back measurements may reach.
  explicit residency_log(std::chrono::seconds keep);

  /// The task takes `share` of the worker's processors from now on.
  void Set(const std::string& worker_id,
           const std::string& task_id,
           const std::string& batch_template,
           double share,
           base::wall_time now);
  /// The task takes nothing of the worker any more.
  void End(const std::string& worker_id,
           const std::string& task_id,
           base::wall_time now);

  /// The mean share of each template on the worker between two times.
  std::vector<exposure> Between(const std::string& worker_id,
                                base::wall_time from,
                                base::wall_time to) const;

 private:
  struct stay {
    std::string task_id;
    std::string batch_template;
    double share = 0;
    base::wall_time from;
    base::wall_time to = base::wall_time::max();
  };

  const std::chrono::seconds keep_;
  std::map<std::string, std::deque<stay>> workers_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_RESIDENCY_LOG_H_
