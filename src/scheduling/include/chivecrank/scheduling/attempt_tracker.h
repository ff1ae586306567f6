#ifndef CHIVECRANK_SCHEDULING_ATTEMPT_TRACKER_H_
#define CHIVECRANK_SCHEDULING_ATTEMPT_TRACKER_H_

#include <map>
#include <string>
#include <vector>

#include "chivecrank/scheduling/residency_log.h"
#include "chivecrank/scheduling/shard_state.h"
#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// An attempt whose end has not been recorded, with what planning needs of it.
struct open_attempt {
  task_request request;
  std::int32_t attempt = 0;
  std::string worker_id;
  coordination::resources granted;
  bool throttled = false;
  /// Whether the attempt has been told to stop.
  bool stopping = false;
  base::wall_time started;
  /// Run time that checkpoints of earlier attempts hold.
  std::chrono::milliseconds saved_run_time{0};
  std::int32_t evictions = 0;
};

/// Index of the open attempts: by task, worker and gang, with the resources
/// that each team and client account uses, and the history of what ran on which
/// worker.
class attempt_tracker {
 public:
  attempt_tracker();

  /// Updates the index for `recorded`; `after` is the state with the event
  /// applied.
  void Observe(const event& recorded,
               const shard_state& after,
               base::wall_time now);

  /// Adds a task with an open attempt that was read from the journal.
  void Restore(const task& open, base::wall_time now);

  /// Sets the capacity from which ShareOf computes shares.
  void SetCapacity(const std::string& worker_id,
                   const coordination::resources& capacity);

  /// The open attempt of a task, or null.
  const open_attempt* Find(const std::string& task_id) const;
  /// Open attempts on a worker by task.
  const std::map<std::string, open_attempt>& AttemptsOn(
      const std::string& worker_id) const;
  /// Attempt numbers of a gang's open members, by task.
  const std::map<std::string, std::int32_t>& OpenInGang(
      const std::string& gang) const;

  /// Gangs with open members.
  const std::map<std::string, std::map<std::string, std::int32_t>>& gangs()
      const {
    return gangs_;
  }

  /// Resources granted to the open batch attempts of a team or client account.
  coordination::resources UsedByTeam(const std::string& team) const;
  coordination::resources UsedByAccount(const std::string& account) const;

  const residency_log& residency() const { return residency_; }

  /// Share of the worker's processors that an attempt uses, 0 to 1; 0 if the
  /// capacity is unknown.
  double ShareOf(const std::string& worker_id,
                 const coordination::resources& granted,
                 bool throttled) const;

 private:
  void Open(const task& started, base::wall_time now);
  void Close(const std::string& task_id, base::wall_time now);
  void UpdateUsage(const open_attempt& counted, bool opened);
  void UpdateResidency(const open_attempt& updated, base::wall_time now);
  open_attempt* FindMutable(const std::string& task_id);

  std::map<std::string, std::string> worker_by_task_;
  std::map<std::string, std::map<std::string, open_attempt>>
      attempts_by_worker_;
  std::map<std::string, std::map<std::string, std::int32_t>> gangs_;
  std::map<std::string, coordination::resources> used_by_team_;
  std::map<std::string, coordination::resources> used_by_account_;
  std::map<std::string, coordination::resources> capacities_;
  residency_log residency_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_ATTEMPT_TRACKER_H_
