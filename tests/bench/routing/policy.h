#ifndef CHIVECRANK_TESTS_BENCH_ROUTING_POLICY_H_
#define CHIVECRANK_TESTS_BENCH_ROUTING_POLICY_H_

#include <cstdint>
#include <vector>

#include "event_queue.h"
#include "fleet.h"
#include "recorder.h"
#include "workload.h"

namespace chivecrank::bench {

/// What every policy acts on.
struct run_context {
  event_queue& events;
  fleet& workers;
  recorder& callers;
  const std::vector<arrival>& arrivals;
  std::uint64_t seed = 0;
};

inline constexpr std::chrono::microseconds kNearHop{200};
inline constexpr std::chrono::microseconds kFarHop{1000};
/// Time after which a connection to a dead worker counts as failed.
inline constexpr std::chrono::milliseconds kConnectTimeout{20};

inline int EntryDomain(int entry) {
  return entry % kFailureDomains;
}

inline base::duration Hop(int one_domain, int other_domain) {
  return one_domain == other_domain ? kNearHop : kFarHop;
}

/// Takes requests at the entries and brings them to workers.
class policy {
 public:
  virtual ~policy() = default;

  /// A request arrives at an entry.
  virtual void Arrive(std::size_t request, int entry) = 0;
  /// The instance list changed.
  virtual void Update() = 0;
  /// The entries of a failure domain die.
  virtual void LoseDomain(int domain) = 0;
  virtual std::int64_t messages() const { return 0; }
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_ROUTING_POLICY_H_
