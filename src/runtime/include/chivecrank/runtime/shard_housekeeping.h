#ifndef CHIVECRANK_RUNTIME_SHARD_HOUSEKEEPING_H_
#define CHIVECRANK_RUNTIME_SHARD_HOUSEKEEPING_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/replica.h"
#include "chivecrank/submissions/shard_scheduler.h"

namespace chivecrank::runtime {

struct housekeeping_settings {
  /// How long the state of a submission can be queried after its end. Its keys
  /// are deleted after this time.
  std::chrono::milliseconds ended_retention{180'000};
  /// Time between two deletions of ended submissions.
  std::chrono::milliseconds deletion_interval{2000};
  /// A submission that the shard could not place for this long moves to a shard
  /// with free capacity.
  std::chrono::milliseconds move_delay{900};
  /// The same for submissions whose tasks do not last: what they wait for is
  /// lost to their callers.
  std::chrono::milliseconds short_move_delay{200};
  /// Time before a move with unknown outcome is written again.
  std::chrono::milliseconds retry{150};
};

/// Background work of a shard's owner: moves submissions that the shard cannot
/// place to other shards, and deletes submissions that ended long ago.
class shard_housekeeping {
 public:
  shard_housekeeping(reactor::event_loop& loop,
                     metadata::store& store,
                     const replica& shared,
                     event_log::event_log& log,
                     submissions::shard_scheduler& scheduler,
                     std::uint32_t shard,
                     metadata::revision fence,
                     housekeeping_settings settings,
                     std::function<bool()> is_valid);

  /// Starts the periodic deletion.
  void Start();
  /// A submission of the shard has ended.
  void RecordEnded(const std::string& id);
  /// Moves unstarted submissions that could not be placed to shards with free
  /// capacity.
  void MoveUnplaced();

 private:
  struct ended_submission {
    std::string id;
    base::time_point since;
  };

  void DeleteEnded();
  std::chrono::milliseconds MoveDelay(
      const submissions::submission& request) const;
  void Move(const std::string& id, std::uint32_t target_shard);
  void CommitMove(const std::string& id, metadata::transaction change);
  void OnMove(const std::string& id,
              const metadata::transaction& change,
              base::result<metadata::commit_answer> answer);

  reactor::event_loop& loop_;
  metadata::store& store_;
  const replica& shared_;
  event_log::event_log& log_;
  submissions::shard_scheduler& scheduler_;
  const std::uint32_t shard_;
  const metadata::revision fence_;
  const housekeeping_settings settings_;
  const std::function<bool()> is_valid_;
  std::size_t moves_in_flight_ = 0;
  /// Oldest first.
  std::deque<ended_submission> ended_;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SHARD_HOUSEKEEPING_H_
