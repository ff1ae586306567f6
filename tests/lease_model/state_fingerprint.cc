#include "state_fingerprint.h"

#include "owner_driver.h"
#include "scheduler_fingerprint.h"

namespace chivecrank::lease_model {
namespace {

std::string OfCommit(const pending_commit& commit, const model_state& state) {
  if (commit.is_applied)
    return "applied";
  if (!IsJournalNeeded(state))
    return "pending";
  std::string text = submissions::EncodeJournalEntry(commit.entry);
  if (state.left.snapshots > 0)
    text += submissions::EncodeJournalEntry(commit.snapshot);
  return text;
}

std::string OfOwner(const model_owner& owner, const model_state& state) {
  const base::time_point now = state.now;
  std::string text = std::to_string(owner.restored_at.has_value()) +
                     std::to_string(owner.has_polled) +
                     std::to_string(owner.answered[0]) +
                     std::to_string(owner.answered[1]);
  if (owner.superseded_at)
    text += 'x' + RelativeTime(*owner.superseded_at, now,
                               kOwnerLeaseTerm + kOutageGrace);
  for (const bool has_answered : owner.has_answered)
    text += std::to_string(has_answered);
  if (owner.commit)
    text += OfCommit(*owner.commit, state);
  if (state.left.steady_owners && owner.restored_at)
    text += RelativeTime(*owner.restored_at, now, kMinOwnerLife);
  if (owner.wait)
    text += 'w' + std::to_string(owner.wait->count());
  if (!owner.restored_at)
    return text + 'c' + RelativeTime(owner.claimed_at, now, 10 * kTick);
  return text + FingerprintOf(owner.scheduler.Get(), now);
}

}  // namespace

std::string FingerprintOf(const model_state& state) {
  const model_options& left = state.left;
  std::string text =
      IsJournalNeeded(state) ? state.journal.Fingerprint() : std::string();
  for (const int number : {left.claims, left.late_messages, left.crashes,
                           left.snapshots, left.listing_changes})
    text += std::to_string(number) + ' ';
  for (const model_worker& worker : state.workers)
    text += '\n' + worker.Fingerprint(state.now);
  for (const message& sent : state.network)
    text += "\nm" + std::to_string(sent.worker) + std::to_string(sent.fence) +
            ' ' + RelativeTime(sent.lease_end, state.now, {}) +
            std::to_string(sent.run.value_or(0));
  for (const model_owner& owner : state.owners) {
    text += "\no";
    // An owner that may do nothing any more is like any other such owner.
    if (!owner.restored_at ||
        AuthorityOf(state, owner) != protocol::authority::kNone)
      text += OfOwner(owner, state);
  }
  return text;
}

}  // namespace chivecrank::lease_model
