#ifndef CHIVECRANK_JOURNAL_TYPES_H_
#define CHIVECRANK_JOURNAL_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "chivecrank/scheduling/types.h"

/// The durable log of a shard's events in the platform's store.
namespace chivecrank::journal {

/// Position of a record in the journal of its shard, from 1.
using sequence = std::uint64_t;
/// Number of an ownership of a shard; grows with each new owner.
using epoch = std::uint64_t;

/// One store value: the events that were committed together. A record without
/// events opens the epoch of a new owner.
struct record {
  journal::sequence sequence = 0;
  journal::epoch epoch = 0;
  /// Identifies the write, so that a lost answer can be read back.
  std::string writer;
  std::vector<scheduling::event> events;
};

/// Bounds of the journal of one shard.
struct journal_limits {
  /// Keys that the records take in turns. A record is overwritten only once a
  /// snapshot covers it, so that trimming costs no calls.
  std::size_t slots = 1024;
  /// Records since the last snapshot after which another one is wanted.
  std::size_t snapshot_after = 768;
  /// Largest value that is written; the store refuses more than 1 MiB.
  std::size_t value_bytes = 900'000;
};

}  // namespace chivecrank::journal

#endif  // CHIVECRANK_JOURNAL_TYPES_H_
