#include "internal/candidate_queue.h"

#include <algorithm>
#include <limits>

namespace chivecrank::submissions::internal {
namespace {

/// Score of a worker that must be scored again; sorts before all others.
constexpr double kRescore = std::numeric_limits<double>::infinity();

bool HasRun(const worker_entry& worker, const placement_request& request) {
  return request.progress->run > 0 && worker.runs.contains(request.task);
}

bool FailedOn(const worker_entry& worker, const placement_request& request) {
  return request.progress->last_failed_worker == worker.description.id;
}

}  // namespace

candidate_queue::candidate_queue(const placer& scores,
                                 const placement_request& request)
    : placer_(scores) {
  const placement_request general = WithoutHistory(request);
  for (auto& [id, worker] : scores.Workers().All())
    if (const auto score = scores.ScoreOf(worker, general))
      heap_.push_back({*score, &worker});
  std::ranges::make_heap(heap_, {}, &candidate::score);
}

worker_entry* candidate_queue::Take(const placement_request& request) {
  std::vector<candidate> skipped;
  worker_entry* found = TakeUnused(request, skipped);
  for (const candidate& passed_over : skipped) {
    // The worker on which the task failed is better than none.
    if (found == nullptr && placer_.ScoreOf(*passed_over.worker, request))
      found = passed_over.worker;
    else
      Push(passed_over);
  }
  return found;
}

worker_entry* candidate_queue::TakeUnused(const placement_request& request,
                                          std::vector<candidate>& skipped) {
  while (!heap_.empty()) {
    const candidate best = Pop();
    if (HasRun(*best.worker, request) || FailedOn(*best.worker, request) ||
        !placer_.IsTrusted(*best.worker, request)) {
      skipped.push_back(best);
      continue;
    }
    const auto score = placer_.ScoreOf(*best.worker, request);
    // Assignments since the last scoring may rule the worker out or lower its
    // score below another's.
    if (!score)
      continue;
    if (heap_.empty() || *score >= heap_.front().score)
      return best.worker;
    Push({*score, best.worker});
  }
  return nullptr;
}

void candidate_queue::Return(worker_entry& worker) {
  Push({kRescore, &worker});
}

void candidate_queue::Push(const candidate& entry) {
  heap_.push_back(entry);
  std::ranges::push_heap(heap_, {}, &candidate::score);
}

candidate_queue::candidate candidate_queue::Pop() {
  std::ranges::pop_heap(heap_, {}, &candidate::score);
  const candidate best = heap_.back();
  heap_.pop_back();
  return best;
}

}  // namespace chivecrank::submissions::internal
