#include "step_list.h"

#include <utility>

#include "state_fingerprint.h"

namespace chivecrank::lease_model {
namespace {

constexpr delivery kDeliveries[] = {delivery::kAnswered, delivery::kAnswerLost,
                                    delivery::kLost, delivery::kLate};
constexpr const char* kDeliveryNames[] = {"answered", "answer lost", "lost",
                                          "late", "replaced"};

std::string NameOf(delivery outcome) {
  return kDeliveryNames[static_cast<std::size_t>(outcome)];
}

void CheckRuns(model_state& state) {
  if (state.broken.empty() && state.workers[0].Run() && state.workers[1].Run())
    state.broken = kTwoRuns;
}

/// Whether the end of each worker's lease that has answered the owner is within
/// a lease of the newest answer or lease. It was before the step, so that it
/// may be later only if there was an answer or a lease in this step.
bool LeasesEndInTime(const model_owner& before,
                     const model_owner& after,
                     base::time_point now) {
  const lease_ends earlier = LeaseEnds(before);
  const lease_ends ends = LeaseEnds(after);
  for (std::size_t worker = 0; worker < kWorkers; ++worker) {
    const base::time_point latest =
        after.was_in_touch[worker] ? now + kWorkerLease : earlier[worker];
    if (after.has_answered[worker] && ends[worker] > latest)
      return false;
  }
  return true;
}

void CheckLeases(const model_state& before, model_state& after) {
  for (std::size_t i = 0; i < before.owners.size(); ++i)
    if (after.broken.empty() &&
        AuthorityOf(after, after.owners[i]) != protocol::authority::kNone &&
        !LeasesEndInTime(before.owners[i], after.owners[i], after.now))
      after.broken = kAnswerIgnored;
}

bool StartsOnFirstWorker(const pending_commit& commit) {
  for (const submissions::task_change& change : commit.entry.tasks)
    if (change.progress.phase == submissions::task_phase::kAssigned &&
        change.progress.worker == WorkerId(0))
      return true;
  return false;
}

}  // namespace

std::vector<successor> step_list::Take() {
  // Copies share the scheduler that is built here.
  for (const model_owner& owner : from_.owners)
    static_cast<void>(owner.scheduler.Get());
  for (std::size_t owner = 0; owner < from_.owners.size(); ++owner)
    AddOwner(owner);
  AddClaims();
  AddMessages();
  AddWorkerChanges();
  AddTick();
  return std::move(steps_);
}

void step_list::Add(std::string step,
                    const std::function<void(model_state&)>& change) {
  successor next{std::move(step), from_};
  for (model_owner& owner : next.state.owners)
    owner.was_in_touch = {};
  change(next.state);
  CheckRuns(next.state);
  CheckLeases(from_, next.state);
  next.state.fingerprint = FingerprintOf(next.state);
  for (model_owner& owner : next.state.owners)
    owner.scheduler.Discard();
  steps_.push_back(std::move(next));
}

void step_list::AddOwner(std::size_t owner) {
  const model_owner& known = from_.owners[owner];
  const std::string name = "owner " + std::to_string(owner + 1);
  if (MayPollFirst(from_, known))
    AddPolls(owner, name);
  if (known.commit && AuthorityOf(from_, known) != protocol::authority::kNone)
    AddCommits(owner, name);
  if (!known.restored_at)
    Add(name + " restores",
        [owner](model_state& next) { owner_driver(next, owner).Restore(); });
}

bool step_list::IsPossible(delivery outcome) const {
  if (from_.workers[0].HasCrashed())
    return outcome == delivery::kLost || outcome == delivery::kReplaced;
  if (outcome == delivery::kLate)
    return from_.left.late_messages > 0;
  return outcome != delivery::kReplaced;
}

void step_list::AddPolls(std::size_t owner, const std::string& name) {
  for (const delivery outcome : kDeliveries)
    if (IsPossible(outcome))
      AddPoll(owner, name, outcome);
  if (IsPossible(delivery::kReplaced) && !from_.left.steady_owners)
    AddPoll(owner, name, delivery::kReplaced);
}

void step_list::AddPoll(std::size_t owner,
                        const std::string& name,
                        delivery outcome) {
  Add(name + " polls w-1: " + NameOf(outcome), [=](model_state& next) {
    next.left.late_messages -= outcome == delivery::kLate;
    owner_driver(next, owner).Poll(0, outcome);
    next.owners[owner].has_polled = true;
  });
}

void step_list::AddCommits(std::size_t owner, const std::string& name) {
  const pending_commit& commit = *from_.owners[owner].commit;
  const planted_fault fault = from_.left.fault;
  const bool is_owner = from_.journal.IsOwner(from_.owners[owner].fence);
  // The time until the answer matters only if a claim can come between.
  const bool is_last = is_owner && !IsJournalNeeded(from_);
  if (!commit.is_applied && !is_last &&
      (is_owner || fault == planted_fault::kCommitAfterClaim)) {
    AddApply(owner, name, false);
    if (from_.left.snapshots > 0 && from_.left.claims > 0)
      AddApply(owner, name, true);
  }
  if (commit.is_applied || is_last ||
      fault == planted_fault::kAnswerBeforeCommit)
    AddAnswers(owner, name, is_last && !commit.is_applied);
}

void step_list::AddApply(std::size_t owner,
                         const std::string& name,
                         bool snapshot) {
  Add(name + (snapshot ? " commits a snapshot" : " commits"),
      [=](model_state& next) {
        next.left.snapshots -= snapshot;
        pending_commit& commit = *next.owners[owner].commit;
        commit.is_applied = true;
        next.journal.Append(snapshot ? commit.snapshot : commit.entry,
                            next.left.fault == planted_fault::kReleaseIgnored);
      });
}

void step_list::AddAnswers(std::size_t owner,
                           const std::string& name,
                           bool applies) {
  for (const delivery start : kDeliveries) {
    const bool matters = StartsOnFirstWorker(*from_.owners[owner].commit);
    if (!IsPossible(start) && matters)
      continue;
    Add(name + " gets the commit's answer; a start on w-1 is " + NameOf(start),
        [=](model_state& next) {
          next.left.late_messages -= matters && start == delivery::kLate;
          if (applies)
            next.journal.Append(next.owners[owner].commit->entry, false);
          owner_driver(next, owner).OnCommitted(start);
        });
    if (!matters)
      return;
  }
}

void step_list::AddClaims() {
  const model_owner& newest = from_.owners.back();
  if (from_.left.claims == 0 || !newest.restored_at)
    return;
  if (from_.left.steady_owners &&
      from_.now - *newest.restored_at < kMinOwnerLife)
    return;
  Add("the next owner claims the shard", [](model_state& next) {
    --next.left.claims;
    next.owners.back().superseded_at = next.now;
    next.owners.push_back(
        {.fence = next.journal.Claim(),
         .claimed_at = next.now,
         .scheduler = replayed_scheduler(Settings(next.left.fault))});
  });
}

void step_list::AddMessages() {
  for (std::size_t i = 0; i < from_.network.size(); ++i)
    Add("a late message arrives", [i](model_state& next) {
      message sent = next.network[i];
      if (next.left.fault == planted_fault::kLateFenceIgnored)
        sent.fence = next.owners.back().fence;
      next.network.erase(next.network.begin() + static_cast<std::ptrdiff_t>(i));
      model_worker& worker = next.workers[sent.worker];
      if (worker.HasCrashed())
        return;
      if (sent.run)
        static_cast<void>(worker.Start(
            sent, next.now,
            next.left.fault == planted_fault::kStartAfterItsLease));
      else
        static_cast<void>(worker.Receive(sent));
    });
}

void step_list::AddWorkerChanges() {
  if (from_.left.crashes > 0)
    Add("w-1 crashes", [](model_state& next) {
      --next.left.crashes;
      next.workers[0].Crash();
    });
  if (from_.left.listing_changes == 0)
    return;
  Add("w-1 is listed or unlisted", [](model_state& next) {
    --next.left.listing_changes;
    next.workers[0].ChangeListing();
    for (std::size_t i = 0; i < next.owners.size(); ++i)
      if (next.owners[i].restored_at)
        owner_driver(next, i).SetWorkers();
  });
}

bool step_list::IsNewestIdle() const {
  const model_owner& newest = from_.owners.back();
  return newest.restored_at && !newest.commit && !MayPollFirst(from_, newest);
}

void step_list::AddTick() {
  if (from_.left.steady_owners && !IsNewestIdle())
    return;
  Add("a tick passes", [](model_state& next) {
    next.now += kTick;
    for (model_worker& worker : next.workers)
      worker.ExpireLease(next.now);
    for (model_owner& owner : next.owners)
      owner.has_polled = false;
    if (next.owners.back().restored_at)
      owner_driver(next, next.owners.size() - 1).Poll(1, delivery::kAnswered);
  });
}

}  // namespace chivecrank::lease_model
