#ifndef CHIVECRANK_PROTOCOL_TYPES_H_
#define CHIVECRANK_PROTOCOL_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>

/// The rules of ownership, leases and fencing, without threads, sockets or
/// clocks of their own. Schedulers, the agents on workers and the model checker
/// share this code.
namespace chivecrank::protocol {

/// Durations that a scheduler and its successors must agree on.
struct lease_terms {
  /// Term of a worker's lease; no attempt on the worker outlives the lease.
  std::chrono::milliseconds term{6000};
  /// Added before a lease counts as expired, because clocks run at different
  /// rates.
  std::chrono::milliseconds clock_margin{1000};
  /// How long an owner that can't reach the store goes on renewing worker
  /// leases after its own ownership lease may have expired.
  std::chrono::milliseconds outage_grace{60'000};
};

/// Position of a sync among those that owners send to one worker.
struct sync_sequence {
  std::uint64_t epoch = 0;
  /// Starts at 1 in each epoch and increases with each sync.
  std::uint64_t number = 0;
  /// Number of the newest sync whose answer the owner has received; 0 for none.
  /// The lease term starts at the time of that answer, so a delayed sync can't
  /// extend the lease.
  std::uint64_t last_answered = 0;
  /// Identifies the agent process that sent that answer.
  std::string incarnation;
};

/// How a worker handled a sync.
enum class sync_outcome {
  /// The lease was renewed; the worker carries out the start commands.
  kRenewed,
  /// The worker answers, but renews no lease and starts nothing.
  kNotRenewed,
  /// Rejected: the worker has seen a sync of a later epoch.
  kFenced,
  /// Rejected: the worker has seen a later sync of this epoch.
  kStale,
};

/// What an owner may do with its shards.
enum class authority {
  kFull,
  /// Renew worker leases and stop attempts, but start and record nothing.
  kRenewOnly,
  kNone,
};

}  // namespace chivecrank::protocol

#endif  // CHIVECRANK_PROTOCOL_TYPES_H_
