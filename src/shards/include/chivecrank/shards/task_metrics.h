#ifndef CHIVECRANK_SHARDS_TASK_METRICS_H_
#define CHIVECRANK_SHARDS_TASK_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include "chivecrank/scheduling/types.h"

namespace chivecrank::shards {

/// Counts the events of the tasks in the shards that this scheduler owns. Safe
/// to use from several threads.
class task_metrics {
 public:
  /// Registers the metric families; create at most one instance per registry.
  explicit task_metrics(prometheus::Registry& registry);

  void Count(const scheduling::event& recorded);

 private:
  prometheus::Family<prometheus::Counter>& events_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_TASK_METRICS_H_
