#ifndef CHIVECRANK_COORDINATION_CIRCUIT_H_
#define CHIVECRANK_COORDINATION_CIRCUIT_H_

#include <chrono>
#include <cstdint>
#include <random>

#include "chivecrank/base/clock.h"

namespace chivecrank::coordination {

/// When calls are held back after failures.
struct circuit_settings {
  /// Failures in a row that open the circuit.
  int failures = 5;
  /// First and longest time it stays open; the time doubles between.
  std::chrono::milliseconds first_pause{100};
  std::chrono::milliseconds longest_pause{1000};
};

/// Holds calls back while a service fails, and lets single ones try it.
/// Deterministic; not synchronized.
class circuit {
 public:
  circuit(circuit_settings settings, std::uint64_t seed);

  /// Whether a call may go now. While open, one may go when the pause ends.
  bool Allows(base::time_point now);
  /// A call was answered, or not.
  void Ended(bool answered, base::time_point now);

  bool IsOpen() const { return open_; }

 private:
  const circuit_settings settings_;
  std::mt19937_64 random_;
  bool open_ = false;
  int failures_ = 0;
  std::chrono::milliseconds pause_;
  base::time_point next_try_;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_CIRCUIT_H_
