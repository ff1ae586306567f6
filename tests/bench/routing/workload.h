#ifndef CHIVECRANK_TESTS_BENCH_ROUTING_WORKLOAD_H_
#define CHIVECRANK_TESTS_BENCH_ROUTING_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"

namespace chivecrank::bench {

/// A load, and what goes wrong meanwhile.
struct scenario {
  std::string name;
  /// Share of all slots' time that the requests need before and after the
  /// middle of the run.
  double load = 0;
  double later_load = 0;
  /// Share of workers that need `kSlowFactor` times as long.
  double slow_workers = 0;
  /// A failure domain dies at a third of the run, with its entries.
  bool domain_lost = false;
  /// Every second one account sends a wave through two entries.
  bool waves = false;
};

/// One request as its caller sends it; the same for every policy.
struct arrival {
  base::time_point at;
  int account = 0;
  /// Chooses the entry among those alive, as a balancer would.
  std::uint64_t choice = 0;
  /// Time that it needs on a worker of ordinary speed.
  base::duration work{};
};

inline constexpr int kEntries = 7;
inline constexpr int kWorkers = 48;
inline constexpr int kSlots = 8;
inline constexpr int kFailureDomains = 4;
inline constexpr int kAccounts = 10;
/// The account that sends the waves.
inline constexpr int kNoisyAccount = 0;
inline constexpr double kSlowFactor = 5;
inline constexpr std::chrono::milliseconds kDeadline{250};
inline constexpr std::chrono::seconds kRunTime{6};
/// Requests that arrive earlier warm up and are not counted.
inline constexpr std::chrono::seconds kWarmUp{1};

std::vector<scenario> AllScenarios();

/// The requests of a scenario in the order of time.
std::vector<arrival> MakeArrivals(const scenario& from, std::uint64_t seed);

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_ROUTING_WORKLOAD_H_
