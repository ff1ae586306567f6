#ifndef CHIVECRANK_IDEMPOTENCY_INTERNAL_LOG_CODEC_H_
#define CHIVECRANK_IDEMPOTENCY_INTERNAL_LOG_CODEC_H_

#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/idempotency/types.h"

namespace chivecrank::idempotency::internal {

/// The value under a partition's head key: the only one that is written by
/// compare-and-swap, so it decides who owns the partition.
struct log_head {
  /// Grows with each owner.
  std::uint64_t epoch = 0;
  /// Identifies the owner's process.
  std::string writer;
  /// Number of the write under this epoch, so that a lost answer can be read
  /// back.
  std::uint64_t write = 0;
  /// The owner ended with everything recorded.
  bool closed = false;
  /// Names of the sealed segments, oldest first.
  std::vector<std::string> segments;
  std::vector<log_entry> entries;
};

std::string EncodeHead(const log_head& head);
/// kCorrupt when the value is none.
base::result<log_head> DecodeHead(const std::string& value);

}  // namespace chivecrank::idempotency::internal

#endif  // CHIVECRANK_IDEMPOTENCY_INTERNAL_LOG_CODEC_H_
