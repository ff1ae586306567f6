#ifndef CHIVECRANK_PROTOCOL_TYPES_H_
#define CHIVECRANK_PROTOCOL_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>

/// The rules of ownership, leases and fencing, free of threads, sockets and
/// clocks. The schedulers, the workers' agents and the model checker share
/// them.
namespace chivecrank::protocol {

/// Durations that a scheduler and its successors must agree on.
struct lease_terms {
  /// Term of a worker's lease, which bounds all attempts on it.
  std::chrono::milliseconds term{6000};
  /// Added before a lease counts as over, for clocks that run apart.
  std::chrono::milliseconds clock_margin{1000};
  /// How long an owner that can't reach the store goes on renewing the leases
  /// of workers after its own ownership lease may have ended.
  std::chrono::milliseconds outage_grace{60'000};
};

/// Orders the syncs that one owner sends to one worker.
struct sync_sequence {
  std::uint64_t epoch = 0;
  /// Grows with each sync of an epoch, from 1.
  std::uint64_t number = 0;
  /// The newest sync whose answer the owner has received; 0 for none. The
  /// lease counts from that answer, so a delayed sync can't extend it.
  std::uint64_t last_answered = 0;
  /// The process run of the agent that gave that answer.
  std::string incarnation;
};

/// What a worker makes of a sync.
enum class sync_outcome {
  /// The lease is renewed; starts are carried out.
  kRenewed,
  /// Answered, but nothing is renewed or started.
  kNotRenewed,
  /// A newer owner leads the worker.
  kFenced,
  /// A later sync has been seen already.
  kStale,
};

/// What an owner may do with its shards now.
enum class authority {
  /// Everything.
  kFull,
  /// Renew leases and stop attempts; start and record nothing.
  kRenewOnly,
  kNone,
};

}  // namespace chivecrank::protocol

#endif  // CHIVECRANK_PROTOCOL_TYPES_H_
