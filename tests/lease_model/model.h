#ifndef CHIVECRANK_TESTS_LEASE_MODEL_MODEL_H_
#define CHIVECRANK_TESTS_LEASE_MODEL_MODEL_H_

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "model_worker.h"
#include "replayed_scheduler.h"
#include "store.h"

/// A small model of workers' leases across owners of a shard: one task, two
/// workers, the store and a series of owners. The owners decide with the
/// product's scheduler; only the network, the store, the workers and the
/// passing of time are modelled.
namespace chivecrank::lease_model {

/// Every duration of the model is a multiple of it.
constexpr std::chrono::milliseconds kTick{500};
constexpr std::chrono::milliseconds kOwnerLeaseTerm = kTick;
constexpr std::chrono::milliseconds kOutageGrace = kTick;
/// The clocks of the model agree, so that nothing is added to it.
constexpr std::chrono::milliseconds kWorkerLease = 3 * kTick;

/// How long a steady owner lives after its restore.
constexpr std::chrono::milliseconds kMinOwnerLife{1000};

/// Everything may happen to the messages to the first worker; the second one
/// answers each poll of the newest owner.
constexpr std::size_t kWorkers = 2;

/// The rules.
constexpr const char* kEarlyStart =
    "a run is started while an earlier one may be alive";
constexpr const char* kTwoRuns = "two runs are alive";
constexpr const char* kWaitStartsAnew =
    "the wait for a worker that is gone starts anew";
constexpr const char* kAnswerIgnored =
    "a worker that answered may count as alive for longer than a lease";

/// A fault planted in the model, to show that the search finds it.
enum class planted_fault {
  kNone,
  /// A lease is granted before the bound is released.
  kLeaseWhileBounded,
  /// Waits are counted from a tick before the claim.
  kWaitFromBeforeClaim,
  /// A record that releases a bound is ignored.
  kReleaseIgnored,
  /// A next owner doesn't wait for the term and grace of the owner before.
  kOwnerTermIgnored,
  /// The store accepts commits of an owner that another one has followed.
  kCommitAfterClaim,
  /// An owner may take a batch as committed before it is.
  kAnswerBeforeCommit,
  /// A worker starts a run after the command's own lease is over, because a
  /// later poll renewed its lease.
  kStartAfterItsLease,
  /// Bounds aren't recorded.
  kNoBounds,
  /// Snapshots don't contain the workers.
  kSnapshotWithoutWorkers,
  /// An answer doesn't shorten what an owner before may have granted.
  kAnswerShortensNothing,
  /// A late message takes effect though the worker follows a newer owner.
  kLateFenceIgnored,
};

/// What may happen in one search, and how often.
struct model_options {
  planted_fault fault = planted_fault::kNone;
  /// Owners after the first.
  int claims = 1;
  int late_messages = 0;
  int crashes = 0;
  int snapshots = 0;
  /// How often the first worker is unlisted or listed again.
  int listing_changes = 0;
  /// The first run's start command is under way and may arrive late.
  bool starts_late = false;
  /// Each owner polls and commits once a tick and lives for `kMinOwnerLife`.
  bool steady_owners = false;
};

/// A batch on its way to the store.
struct pending_commit {
  std::uint64_t batch = 0;
  submissions::journal_entry entry;
  submissions::journal_entry snapshot;
  bool is_applied = false;
};

/// An owner of the shard and what its driver remembers.
struct model_owner {
  std::int64_t fence = 0;
  base::time_point claimed_at;
  std::optional<base::time_point> restored_at;
  /// When another owner claimed the shard.
  std::optional<base::time_point> superseded_at;
  /// It knows that it lost the shard.
  bool has_ended = false;
  replayed_scheduler scheduler;
  /// Whether the workers answered the last poll.
  std::array<bool, kWorkers> answered{};
  /// Whether the workers have answered any poll.
  std::array<bool, kWorkers> has_answered{};
  /// Whether the workers answered a poll or were sent a lease in this step.
  std::array<bool, kWorkers> was_in_touch{};
  /// The first worker was polled in this tick.
  bool has_polled = false;
  std::optional<pending_commit> commit;
  /// How long after its claim it would wait for the first worker; set if that
  /// worker was gone for good and had a run.
  std::optional<std::chrono::milliseconds> wait;
};

/// Everything at one moment.
struct model_state {
  base::time_point now{std::chrono::hours(1)};
  store journal;
  std::array<model_worker, kWorkers> workers;
  std::vector<model_owner> owners;
  std::vector<message> network;
  /// The options, with numbers of what may still happen.
  model_options left;
  /// The rule that a step broke; empty while all hold.
  std::string broken;
  std::string fingerprint;

  /// Identifies the state.
  const std::string& Fingerprint() const { return fingerprint; }
};

/// Whether another owner will read the journal.
bool IsJournalNeeded(const model_state& state);

/// A state that one step leads to.
struct successor {
  std::string step;
  model_state state;
};

/// The first owner has sent the task's first run to the first worker.
model_state InitialState(const model_options& options);

std::vector<successor> Successors(const model_state& from);

/// The rule that the state breaks; empty when all hold.
inline const std::string& BrokenRule(const model_state& state) {
  return state.broken;
}

}  // namespace chivecrank::lease_model

#endif  // CHIVECRANK_TESTS_LEASE_MODEL_MODEL_H_
