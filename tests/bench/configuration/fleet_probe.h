#ifndef CHIVECRANK_TESTS_BENCH_CONFIGURATION_FLEET_PROBE_H_
#define CHIVECRANK_TESTS_BENCH_CONFIGURATION_FLEET_PROBE_H_

#include <cstdint>
#include <map>
#include <string>

#include "harness/deployment.h"

namespace chivecrank::harness {

/// Sums over all daemons of a deployment.
struct fleet_totals {
  /// Payload sent and received between the daemons.
  double peer_bytes = 0;
  double peer_calls = 0;
  /// Processor time in seconds and resident memory in bytes.
  double processor_seconds = 0;
  double resident_bytes = 0;
  int daemons = 0;
};

/// Reads the metrics and the kernel's account of every daemon.
fleet_totals ReadTotals(deployment& system, int instances);

/// Calls that the platform took so far, by operation.
std::map<std::string, std::int64_t> ReadStoreCalls(const deployment& system);

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_BENCH_CONFIGURATION_FLEET_PROBE_H_
