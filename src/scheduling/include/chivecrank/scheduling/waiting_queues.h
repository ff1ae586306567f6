#ifndef CHIVECRANK_SCHEDULING_WAITING_QUEUES_H_
#define CHIVECRANK_SCHEDULING_WAITING_QUEUES_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "chivecrank/scheduling/shard_state.h"
#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// Priority classes of waiting work, highest first.
enum class priority_class { kService, kUrgent, kBatch };

/// Key of a queue of waiting tasks that placement treats alike.
struct queue_key {
  priority_class priority = priority_class::kBatch;
  std::string team;
  std::string account;
  std::string template_name;

  bool operator<(const queue_key& other) const {
    return std::tie(priority, team, account, template_name) <
           std::tie(other.priority, other.team, other.account,
                    other.template_name);
  }
};

/// Position of a waiting task in its queue: earliest due time first.
struct queue_entry {
  base::wall_time due;
  base::wall_time queued_at;
  std::string task_id;

  bool operator<(const queue_entry& other) const {
    return std::tie(due, queued_at, task_id) <
           std::tie(other.due, other.queued_at, other.task_id);
  }
};

/// Queues of the waiting tasks. They are sorted on insertion, so that the cost
/// of a planning round depends on the tasks that it starts and not on those
/// that wait.
class waiting_queues {
 public:
  /// Updates the queues for a changed task. A waiting task is queued, but not
  /// before `not_before`; any other task is removed.
  void Update(const task& changed,
              base::wall_time now,
              base::wall_time not_before);

  /// Queues the tasks whose delay has ended.
  void ReleaseDelayed(base::wall_time now);

  const std::map<queue_key, std::set<queue_entry>>& queues() const {
    return queues_;
  }

  /// Queued members of a gang, without delayed ones.
  const std::set<std::string>& WaitingInGang(const std::string& gang) const;

 private:
  struct queued_task {
    queue_key key;
    queue_entry entry;
    std::string gang;
    base::wall_time not_before;
    bool delayed = false;
  };

  void Remove(const std::string& task_id);
  void Enqueue(const queued_task& queued);

  std::map<queue_key, std::set<queue_entry>> queues_;
  std::map<std::string, std::set<std::string>> gangs_;
  std::set<std::pair<base::wall_time, std::string>> delayed_;
  std::map<std::string, queued_task> tasks_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_WAITING_QUEUES_H_
