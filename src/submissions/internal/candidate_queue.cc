#include "internal/candidate_queue.h"

#include <algorithm>
#include <limits>

namespace chivecrank::submissions::internal {
namespace {

/// Score of a worker that must be scored again; sorts before all others.
constexpr double kRescore = std::numeric_limits<double>::infinity();

}  // namespace

candidate_queue::candidate_queue(const placer& scores,
                                 const placement_request& request)
    : placer_(scores) {
  for (auto& [id, worker] : scores.Workers().All())
    if (const auto score = scores.ScoreOf(worker, request))
      heap_.push_back({*score, &worker});
  std::ranges::make_heap(heap_, {}, &candidate::score);
}

worker_entry* candidate_queue::Take(const placement_request& request) {
  while (!heap_.empty()) {
    const candidate best = Pop();
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
