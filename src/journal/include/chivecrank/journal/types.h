#ifndef CHIVECRANK_JOURNAL_TYPES_H_
#define CHIVECRANK_JOURNAL_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "chivecrank/scheduling/types.h"

/// Durable log of a shard's events in the platform's store.
namespace chivecrank::journal {

/// Position of a record in the journal of its shard, starting at 1.
using sequence = std::uint64_t;
/// Number of an ownership period of a shard; increases with each new owner.
using epoch = std::uint64_t;

/// One value in the store: events that are committed together. A record without
/// events opens the epoch of a new owner.
struct record {
  journal::sequence sequence = 0;
  journal::epoch epoch = 0;
  /// Identifies the writing process, so that a write whose response was lost
  /// can be recognized when it is read back.
  std::string writer;
  std::vector<scheduling::event> events;
};

/// Limits of the journal of one shard.
struct journal_limits {
  /// Number of keys that records use in turn. A record is overwritten only once
  /// a snapshot covers it, so trimming the journal needs no calls.
  std::size_t slots = 1024;
  /// Number of records since the last snapshot after which the next one is due.
  std::size_t records_per_snapshot = 768;
  /// Maximum size of a value in bytes; the store rejects values above 1 MiB.
  std::size_t value_bytes = 900'000;
};

}  // namespace chivecrank::journal

#endif  // CHIVECRANK_JOURNAL_TYPES_H_
