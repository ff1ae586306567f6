#ifndef CHIVECRANK_SCHEDULING_SHARD_STATE_H_
#define CHIVECRANK_SCHEDULING_SHARD_STATE_H_

#include <map>
#include <set>
#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/scheduling/transitions.h"
#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// The tasks of one shard, built from the events of its journal. Committed
/// resources and waiting tasks are updated with each event, so that the cost of
/// reading them does not grow with the shard.
class shard_state {
 public:
  /// Applies a recorded event. Fails with kCorrupt if the event is not possible
  /// in the current state.
  base::result<void> Apply(const event& recorded);

  /// Returns the task, or null.
  const task* Find(const std::string& task_id) const;

  /// All tasks by identifier.
  const std::map<std::string, task>& tasks() const { return tasks_; }

  /// Identifiers of the tasks that wait for an attempt.
  const std::set<std::string>& waiting() const { return waiting_; }

  /// Resources granted to the open attempts on a worker. An attempt stays open
  /// until its end is recorded, whatever the state of its task.
  coordination::resources CommittedOn(const std::string& worker_id) const;

  /// Identifiers of the tasks with an open attempt on a worker.
  const std::set<std::string>& OpenTasksOn(const std::string& worker_id) const;

  /// Number of tasks of a gang in a final state.
  std::int64_t FinalTasksInGang(const std::string& gang) const;

 private:
  struct worker_use {
    coordination::resources committed;
    std::set<std::string> open;
  };

  base::result<void> Apply(const task_accepted& recorded);
  base::result<void> Apply(const attempt_started& recorded);
  base::result<void> Apply(const attempt_confirmed& recorded);
  base::result<void> Apply(const attempt_throttled& recorded);
  base::result<void> Apply(const checkpoint_ordered& recorded);
  base::result<void> Apply(const attempt_ended& recorded);
  base::result<void> Apply(const task_parked& recorded);
  base::result<void> Apply(const task_released& recorded);
  base::result<void> Apply(const task_cancelled& recorded);

  task* FindAttempt(const std::string& task_id, std::int32_t attempt);
  bool ApplyTransition(task& moved, task_trigger trigger);
  void OpenAttempt(task& started, const attempt_started& recorded);
  void CloseAttempt(task& ended);

  std::map<std::string, task> tasks_;
  std::set<std::string> waiting_;
  std::map<std::string, worker_use> workers_;
  std::map<std::string, std::int64_t> final_tasks_in_gang_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_SHARD_STATE_H_
