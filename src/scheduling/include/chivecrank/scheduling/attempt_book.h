#ifndef CHIVECRANK_SCHEDULING_ATTEMPT_BOOK_H_
#define CHIVECRANK_SCHEDULING_ATTEMPT_BOOK_H_

#include <map>
#include <string>
#include <vector>

#include "chivecrank/scheduling/residency_log.h"
#include "chivecrank/scheduling/shard_state.h"
#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// An open attempt as decisions see it.
struct open_attempt {
  task_request request;
  std::int32_t attempt = 0;
  std::string worker_id;
  coordination::resources granted;
  bool throttled = false;
  /// Whether its end was ordered.
  bool stopping = false;
  base::wall_time started;
  /// Run time that an earlier attempt saved.
  std::chrono::milliseconds saved{0};
  std::int32_t evictions = 0;
};

/// Open attempts by worker, with what decisions ask about them: when they
/// started, what ran beside what, and how much each team uses.
class attempt_book {
 public:
  attempt_book();

  /// Follows an event that was applied to `after`.
  void Observe(const event& recorded,
               const shard_state& after,
               base::wall_time now);

  /// Takes in a task with an open attempt that was read from the journal.
  void Restore(const task& open, base::wall_time now);

  /// Capacity of a worker, for the shares that attempts take of it.
  void SetCapacity(const std::string& worker_id,
                   const coordination::resources& capacity);

  /// The open attempt of a task, or null.
  const open_attempt* Find(const std::string& task_id) const;
  /// Open attempts on a worker by task.
  const std::map<std::string, open_attempt>& On(
      const std::string& worker_id) const;
  /// Attempt numbers of a gang's open members, by task.
  const std::map<std::string, std::int32_t>& OpenInGang(
      const std::string& gang) const;

  /// Gangs with open members.
  const std::map<std::string, std::map<std::string, std::int32_t>>& gangs()
      const {
    return gangs_;
  }

  /// What batch attempts of a team or of a client account are granted.
  coordination::resources UsedByTeam(const std::string& team) const;
  coordination::resources UsedByAccount(const std::string& account) const;

  const residency_log& residency() const { return residency_; }

  /// Share of a worker's processors that an attempt takes.
  double ShareOf(const std::string& worker_id,
                 const coordination::resources& granted,
                 bool throttled) const;

 private:
  void Open(const task& started, base::wall_time now);
  void Close(const std::string& task_id, base::wall_time now);
  void Count(const open_attempt& counted, bool opened);
  void Reside(const open_attempt& residing, base::wall_time now);
  open_attempt* FindMutable(const std::string& task_id);

  std::map<std::string, std::string> worker_of_;
  std::map<std::string, std::map<std::string, open_attempt>> workers_;
  std::map<std::string, std::map<std::string, std::int32_t>> gangs_;
  std::map<std::string, coordination::resources> teams_;
  std::map<std::string, coordination::resources> accounts_;
  std::map<std::string, coordination::resources> capacities_;
  residency_log residency_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_ATTEMPT_BOOK_H_
