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

/// Classes of waiting work, the first served first.
enum class work_class { kService, kUrgent, kBatch };

/// Waiting tasks that are alike for placement.
struct queue_key {
  work_class of = work_class::kBatch;
  std::string team;
  std::string account;
  std::string template_name;

  bool operator<(const queue_key& other) const {
    return std::tie(of, team, account, template_name) <
           std::tie(other.of, other.team, other.account, other.template_name);
  }
};

/// A waiting task in the order of its queue: earliest due first.
struct queue_entry {
  base::wall_time due;
  base::wall_time since;
  std::string task_id;

  bool operator<(const queue_entry& other) const {
    return std::tie(due, since, task_id) <
           std::tie(other.due, other.since, other.task_id);
  }
};

/// The waiting tasks, sorted as they arrive, so that a round costs what it
/// starts and not what waits.
class waiting_queues {
 public:
  /// Follows a change of a task. A waiting one is queued, at the earliest at
  /// `not_before`; any other one is taken out.
  void Refresh(const task& changed,
               base::wall_time now,
               base::wall_time not_before);

  /// Queues the tasks whose delay has passed.
  void ReleaseDelayed(base::wall_time now);

  const std::map<queue_key, std::set<queue_entry>>& queues() const {
    return queues_;
  }

  /// Waiting members of a gang that are not delayed.
  const std::set<std::string>& WaitingInGang(const std::string& gang) const;

 private:
  struct place {
    queue_key key;
    queue_entry entry;
    std::string gang;
    base::wall_time not_before;
    bool delayed = false;
  };

  void Remove(const std::string& task_id);
  void Enqueue(const place& queued);

  std::map<queue_key, std::set<queue_entry>> queues_;
  std::map<std::string, std::set<std::string>> gangs_;
  std::set<std::pair<base::wall_time, std::string>> delayed_;
  std::map<std::string, place> places_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_WAITING_QUEUES_H_
