#include "chivecrank/scheduling/placement.h"

#include <algorithm>

namespace chivecrank::scheduling {
namespace {

struct candidate {
  const worker_view* worker = nullptr;
  platform::resources committed;
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
  for (const auto& [id, known] : state.tasks()) {
    if (known.state == task_state::kPending)
      pending.push_back(&known);
  }
  std::stable_sort(pending.begin(), pending.end(),
                   [](const task* left, const task* right) {
                     return left->request.urgent && !right->request.urgent;
                   });
  return pending;
}

candidate* LeastCommitted(std::vector<candidate>& candidates,
                          const platform::resources& demand) {
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

void Commit(const platform::resources& demand, platform::resources& committed) {
  committed.processors_milli += demand.processors_milli;
  committed.memory_mib += demand.memory_mib;
  committed.accelerators += demand.accelerators;
}

}  // namespace

bool Fits(const platform::resources& demand,
          const platform::resources& committed,
          const platform::resources& capacity) {
  return committed.processors_milli + demand.processors_milli <=
             capacity.processors_milli &&
         committed.memory_mib + demand.memory_mib <= capacity.memory_mib &&
         committed.accelerators + demand.accelerators <= capacity.accelerators;
}

std::vector<attempt_started> PlanStarts(
    const shard_state& state,
    const std::vector<worker_view>& workers) {
  std::vector<candidate> candidates = Candidates(state, workers);
  std::vector<attempt_started> starts;
  for (const task* pending : PendingByUrgency(state)) {
    candidate* chosen = LeastCommitted(candidates, pending->request.demand);
    if (chosen == nullptr)
      continue;
    Commit(pending->request.demand, chosen->committed);
    starts.push_back(
        {pending->request.id, pending->attempt + 1, chosen->worker->id});
  }
  return starts;
}

}  // namespace chivecrank::scheduling
