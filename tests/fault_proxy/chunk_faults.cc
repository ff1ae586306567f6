#include "chunk_faults.h"

#include <array>
#include <utility>

namespace chivecrank::fault_proxy {

fault_shares DecodeShares(const http::json_object& encoded) {
  return {std::chrono::milliseconds(http::IntegerOf(encoded, "delay_ms")),
          http::NumberOf(encoded, "drop"),
          http::NumberOf(encoded, "silence"),
          http::NumberOf(encoded, "truncate"),
          http::NumberOf(encoded, "reset"),
          http::NumberOf(encoded, "duplicate"),
          http::NumberOf(encoded, "reorder")};
}

chunk_faults::chunk_faults(std::uint64_t seed) : random_(seed) {}

void chunk_faults::Set(const fault_shares& shares) {
  std::lock_guard lock(mutex_);
  shares_ = shares;
}

std::chrono::milliseconds chunk_faults::Delay() const {
  std::lock_guard lock(mutex_);
  return shares_.delay;
}

chunk_fate chunk_faults::Next() {
  std::lock_guard lock(mutex_);
  const std::array<std::pair<chunk_fate, double>, 6> shares = {{
      {chunk_fate::kDrop, shares_.drop},
      {chunk_fate::kSilence, shares_.silence},
      {chunk_fate::kTruncate, shares_.truncate},
      {chunk_fate::kReset, shares_.reset},
      {chunk_fate::kDuplicate, shares_.duplicate},
      {chunk_fate::kReorder, shares_.reorder},
  }};
  double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
  for (const auto& [fate, share] : shares) {
    if (drawn < share)
      return fate;
    drawn -= share;
  }
  return chunk_fate::kPass;
}

}  // namespace chivecrank::fault_proxy
