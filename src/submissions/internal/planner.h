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
#include "internal/step_order.h"

namespace chivecrank::submissions::internal {

/// Chooses which waiting tasks start; see SortByUrgency for the order.
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
  std::vector<ready_step> ReadySteps(base::time_point now,
                                     std::chrono::milliseconds since_epoch);
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
