#ifndef CHIVECRANK_COORDINATION_CIRCUIT_BREAKER_H_
#define CHIVECRANK_COORDINATION_CIRCUIT_BREAKER_H_

#include <chrono>
#include <cstdint>
#include <random>

#include "chivecrank/base/clock.h"

namespace chivecrank::coordination {

struct circuit_breaker_settings {
  /// Consecutive failures that open the circuit.
  int failure_threshold = 5;
  /// Initial and maximum time for which the circuit stays open. The time
  /// doubles with each failed trial call.
  std::chrono::milliseconds initial_open_time{100};
  std::chrono::milliseconds max_open_time{1000};
};

/// Blocks calls while a service fails, except for single trial calls.
/// Deterministic; not thread-safe.
class circuit_breaker {
 public:
  circuit_breaker(circuit_breaker_settings settings, std::uint64_t seed);

  /// Whether a call may be sent now. While the circuit is open, one trial call
  /// may be sent at the end of each open time.
  bool AllowsCall(base::time_point now);
  /// Records whether the service answered a call.
  void RecordResult(bool is_answered, base::time_point now);

  bool IsOpen() const { return open_; }

 private:
  const circuit_breaker_settings settings_;
  std::mt19937_64 random_;
  bool open_ = false;
  int failures_ = 0;
  std::chrono::milliseconds open_time_;
  base::time_point next_trial_;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_CIRCUIT_BREAKER_H_
