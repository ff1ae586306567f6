#include "chivecrank/scheduling/placement.h"

#include <algorithm>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::scheduling {
namespace {

struct candidate {
  const worker_view* worker = nullptr;
  coordination::resources committed;
};

std::vector<candidate> Candidates(const shard_state& state,
                                  const std::vector<worker_view>& workers) {
  std::vector<candidate> all;
  all.reserve(workers.size());
  for (const worker_view& worker : workers)
    all.push_back({&worker, state.CommittedOn(worker.id)});
  return all;
}

std::vector<const task*> PendingByUrgency(const shard_state& state) {
  std::vector<const task*> pending;
  for (const std::string& id : state.waiting())
    pending.push_back(state.Find(id));
  std::stable_sort(pending.begin(), pending.end(),
                   [](const task* left, const task* right) {
                     return left->request.urgent && !right->request.urgent;
                   });
  return pending;
}

candidate* LeastCommitted(std::vector<candidate>& candidates,
                          const coordination::resources& demand) {
  candidate* best = nullptr;
  for (candidate& known : candidates) {
    if (!Fits(demand, known.committed, known.worker->capacity))
      continue;
    if (best == nullptr ||
        known.committed.processors_milli < best->committed.processors_milli) {
      best = &known;
    }
  }
  return best;
}

}  // namespace

std::vector<attempt_started> PlanStarts(
    const shard_state& state,
    const std::vector<worker_view>& workers) {
  std::vector<candidate> candidates = Candidates(state, workers);
  std::vector<attempt_started> starts;
  for (const task* pending : PendingByUrgency(state)) {
    candidate* chosen = LeastCommitted(candidates, pending->request.demand);
    if (chosen == nullptr)
      continue;
    chosen->committed = Plus(chosen->committed, pending->request.demand);
    starts.push_back(
        {pending->request.id, pending->attempt + 1, chosen->worker->id});
  }
  return starts;
}

}  // namespace chivecrank::scheduling
