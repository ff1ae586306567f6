#ifndef CHIVECRANK_TESTS_BENCH_ROUTING_RECORDER_H_
#define CHIVECRANK_TESTS_BENCH_ROUTING_RECORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "event_queue.h"
#include "workload.h"

namespace chivecrank::bench {

/// What the callers of one run saw.
struct run_totals {
  std::int64_t requests = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double deadline_hit = 0;
  std::int64_t refused = 0;
  /// p99 and hit rate of the accounts that send no waves.
  double others_p99_ms = 0;
  double others_deadline_hit = 0;
};

/// Keeps the callers' account. A request that is unanswered at its deadline
/// counts with the time until then; a refused one has no latency.
class recorder {
 public:
  recorder(const event_queue& events, const std::vector<arrival>& arrivals);

  void Answered(std::size_t request);
  void Refused(std::size_t request);
  /// Whether the caller still waits for an answer.
  bool IsOpen(std::size_t request) const { return !closed_[request]; }
  void MissedDeadline(std::size_t request);

  run_totals Totals() const;

 private:
  bool Close(std::size_t request);

  const event_queue& events_;
  const std::vector<arrival>& arrivals_;
  std::vector<bool> closed_;
  std::vector<double> latencies_ms_;
  std::vector<double> others_ms_;
  run_totals counted_;
  std::int64_t hits_ = 0;
  std::int64_t others_ = 0;
  std::int64_t others_hits_ = 0;
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_ROUTING_RECORDER_H_
