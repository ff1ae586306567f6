#ifndef CHIVECRANK_IDEMPOTENCY_INTERNAL_LOG_CODEC_H_
#define CHIVECRANK_IDEMPOTENCY_INTERNAL_LOG_CODEC_H_

#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/idempotency/types.h"

namespace chivecrank::idempotency::internal {

/// Value of a partition's head key. It is the only key written by
/// compare-and-swap, so it decides who owns the partition.
struct log_head {
  /// Increases with each owner.
  std::uint64_t epoch = 0;
  /// Identifies the owner's process.
  std::string writer;
  /// Number of the write within this epoch. Reading it back shows whether a
  /// write whose response was lost took effect.
  std::uint64_t write_number = 0;
  /// Whether the owner stopped with everything recorded.
  bool closed = false;
  /// Names of the sealed segments, oldest first.
  std::vector<std::string> segments;
  std::vector<log_entry> entries;
};

std::string EncodeHead(const log_head& head);
/// kCorrupt if the value is not an encoded head.
base::result<log_head> DecodeHead(const std::string& value);

}  // namespace chivecrank::idempotency::internal

#endif  // CHIVECRANK_IDEMPOTENCY_INTERNAL_LOG_CODEC_H_
