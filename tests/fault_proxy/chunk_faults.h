#ifndef CHIVECRANK_TESTS_FAULT_PROXY_CHUNK_FAULTS_H_
#define CHIVECRANK_TESTS_FAULT_PROXY_CHUNK_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>

#include "chivecrank/http/json.h"

namespace chivecrank::fault_proxy {

/// What happens to one chunk of bytes.
enum class chunk_fate {
  kPass,
  /// The bytes vanish.
  kDrop,
  /// These and all later bytes of the connection vanish, both ways; it stays
  /// open.
  kSilence,
  /// Half of the bytes pass, then the connection ends in order.
  kTruncate,
  /// The connection is reset.
  kReset,
  /// The bytes pass twice.
  kDuplicate,
  /// The bytes pass after the next chunk.
  kReorder,
};

/// Share of the chunks that meet each fault, and how late all of them are.
struct fault_shares {
  std::chrono::milliseconds delay{0};
  double drop = 0;
  double silence = 0;
  double truncate = 0;
  double reset = 0;
  double duplicate = 0;
  double reorder = 0;
};

fault_shares DecodeShares(const http::json_object& encoded);

/// The faults of one direction, drawn from a seed. Safe to use from several
/// threads.
class chunk_faults {
 public:
  explicit chunk_faults(std::uint64_t seed);

  void Set(const fault_shares& shares);
  std::chrono::milliseconds Delay() const;
  /// Decides about the next chunk.
  chunk_fate Next();

 private:
  mutable std::mutex mutex_;
  fault_shares shares_;
  std::mt19937_64 random_;
};

}  // namespace chivecrank::fault_proxy

#endif  // CHIVECRANK_TESTS_FAULT_PROXY_CHUNK_FAULTS_H_
