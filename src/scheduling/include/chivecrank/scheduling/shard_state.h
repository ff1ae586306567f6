#ifndef CHIVECRANK_SCHEDULING_SHARD_STATE_H_
#define CHIVECRANK_SCHEDULING_SHARD_STATE_H_

#include <map>
#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// The tasks of one shard, built from the events of its journal.
class shard_state {
 public:
  /// Applies a recorded event. kCorrupt when it can't follow the state.
  base::result<void> Apply(const event& recorded);

  /// The task, or null.
  const task* Find(const std::string& task_id) const;

  /// All tasks by identifier.
  const std::map<std::string, task>& tasks() const { return tasks_; }

  /// What the unfinished attempts on a worker have been promised.
  platform::resources CommittedOn(const std::string& worker_id) const;

 private:
  base::result<void> Apply(const task_accepted& recorded);
  base::result<void> Apply(const attempt_started& recorded);
  base::result<void> Apply(const attempt_ended& recorded);
  base::result<void> Apply(const task_cancelled& recorded);

  std::map<std::string, task> tasks_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_SHARD_STATE_H_
