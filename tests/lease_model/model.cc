#include "model.h"

#include "owner_driver.h"
#include "state_fingerprint.h"
#include "step_list.h"

namespace chivecrank::lease_model {
namespace {

/// States after the commit of a later run aren't searched further; nothing else
/// bounds the time.
constexpr std::int32_t kMaxRun = 2;

}  // namespace

bool IsJournalNeeded(const model_state& state) {
  return state.left.claims > 0 || !state.owners.back().restored_at;
}

model_state InitialState(const model_options& options) {
  model_state state;
  state.left = options;
  state.owners.push_back(
      {.fence = state.journal.Claim(),
       .claimed_at = state.now,
       .scheduler = replayed_scheduler(Settings(options.fault))});
  owner_driver owner(state, 0);
  // The first run goes to the first worker, as no other one is listed yet.
  state.workers[1].ChangeListing();
  owner.Restore();
  owner.Poll(0, delivery::kAnswered);
  owner.Poll(0, delivery::kAnswered);
  state.owners[0].commit->is_applied = true;
  state.journal.Append(state.owners[0].commit->entry, false);
  owner.OnCommitted(options.starts_late ? delivery::kLate
                                        : delivery::kAnswered);
  state.workers[1].ChangeListing();
  owner.SetWorkers();
  owner.Poll(1, delivery::kAnswered);
  state.fingerprint = FingerprintOf(state);
  return state;
}

std::vector<successor> Successors(const model_state& from) {
  for (const submissions::task_change& change : from.journal.Journal().tasks)
    if (change.progress.run > kMaxRun)
      return {};
  return step_list(from).Take();
}

}  // namespace chivecrank::lease_model
