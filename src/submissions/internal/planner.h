#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_PLANNER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_PLANNER_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "internal/candidate_queue.h"
#include "internal/full_shapes.h"
#include "internal/placer.h"
#include "internal/relocator.h"
#include "internal/run_book.h"

namespace chivecrank::submissions::internal {

/// Chooses which waiting tasks start, and in which order: by the priority of
/// their queue, then by the time at which the submission should be done. When
/// there is more work than room, what can't be done in time any more stands
/// back, so that the rest is.
class planner {
 public:
  planner(const scheduler_settings& settings,
          run_book& book,
          interference& learned,
          permit_book& permits)
      : settings_(settings),
        book_(book),
        permits_(permits),
        placer_(settings, book.Workers(), learned),
        relocator_(book,
                   placer_,
                   full_,
                   [this](const live_submission& live,
                          const task_ref& task,
                          base::time_point now) {
                     return RequestFor(live, task, now);
                   }) {}

  void SetPolicy(const std::string& queue, const queue_policy& policy) {
    policies_[queue] = policy;
  }

  /// Moves what should not stay where it is, then assigns what can start.
  void Plan(base::time_point now, std::chrono::milliseconds since_epoch);

  const placer& Placer() const { return placer_; }
  bool NeedsPermit(const live_submission& live) const {
    return PolicyOf(live).permits.has_value();
  }
  /// Questions for permits that the last rounds left open.
  std::vector<permit_request> TakeQuestions() {
    return std::exchange(questions_, {});
  }

 private:
  /// What a step can still reach, in the order in which steps are served.
  enum class urgency {
    /// Its submission's objective.
    kInTime,
    /// An end that is late and still of use.
    kLate,
    kTooLate,
  };

  struct ready_step {
    live_submission* live = nullptr;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    /// Sorted by, smallest first.
    std::int32_t priority = 0;
    urgency kind = urgency::kInTime;
    std::chrono::milliseconds deadline{0};
  };

  /// Sets what the step can still reach, and by when it has to.
  static void SetUrgency(ready_step& ready,
                         std::chrono::milliseconds since_epoch);
  std::vector<ready_step> ReadySteps(std::chrono::milliseconds since_epoch);
  const queue_policy& PolicyOf(const live_submission& live) const;
  void PlaceTasks(const ready_step& ready, base::time_point now);
  /// Assigns the task to the best worker; false when there is none.
  bool PlaceTask(const placement_request& request, candidate_queue& workers);
  /// Asks for permits on the best workers that nothing is known of, if the
  /// step needs any.
  void AskForPermits(const ready_step& ready, const placement_request& request);
  void PlaceGang(const ready_step& ready, base::time_point now);
  bool PlaceGangOn(const ready_step& ready,
                   const std::string& rack,
                   base::time_point now);
  /// The workers for all tasks of a step together; none when some find no
  /// room.
  std::vector<worker_entry*> ChooseForAll(const ready_step& ready,
                                          const std::string& rack,
                                          base::time_point now);
  /// Whether a lasting submission should rather go to a shard with room for
  /// all of it than start here in part.
  bool WaitsForWholeRoom(const ready_step& ready, base::time_point now);
  placement_request RequestFor(const live_submission& live,
                               const task_ref& task,
                               base::time_point now);
  std::vector<std::string> RacksByRoom() const;

  const scheduler_settings& settings_;
  run_book& book_;
  permit_book& permits_;
  std::vector<permit_request> questions_;
  placer placer_;
  full_shapes full_;
  relocator relocator_;
  std::map<std::string, queue_policy> policies_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_PLANNER_H_
