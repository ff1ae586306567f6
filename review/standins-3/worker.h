#ifndef CHIVECRANK_REVIEW_STANDINS_3_WORKER_H_
#define CHIVECRANK_REVIEW_STANDINS_3_WORKER_H_

#include <cstdint>
#include <string>

namespace review {

struct worker_settings {
  std::string id;
  std::string service;
  std::string rack;
  std::uint16_t port = 0;
  std::uint16_t store_port = 0;
  /// Where the members of gangs meet.
  std::uint16_t hub_port = 0;
  /// The first of its labels.
  std::string kind = "a";
  std::int64_t cpu = 16'000;
  std::int64_t mem_mb = 62'500;
  std::int64_t hold_max_ms = 6000;
  std::int64_t gang_timeout_ms = 3000;
  int heartbeat_ms = 1500;
};

/// A worker, as PROTOCOL.md describes it, until the process is killed. The
/// text of a task says how long it works, as "ms=800", or that it lasts,
/// and how many members its gang has, as "gang=3".
int RunWorker(const worker_settings& settings);

}  // namespace review

#endif  // CHIVECRANK_REVIEW_STANDINS_3_WORKER_H_
