#ifndef CHIVECRANK_TESTS_BENCH_CONTROL_MEASURED_DAEMON_H_
#define CHIVECRANK_TESTS_BENCH_CONTROL_MEASURED_DAEMON_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/shards/shard_runner.h"
#include "counted_store.h"
#include "cpu_meter.h"
#include "measured_agents.h"

namespace chivecrank::bench {

/// The load on the whole system and the settings of its schedulers.
struct control_load {
  int workers = 950;
  int instances = 7;
  int tasks_per_worker = 25;
  int workers_per_rack = 8;
  double starts_per_second = 130;
  std::chrono::seconds measured{60};
  std::uint64_t seed = 1;
  shards::shard_settings settings;
};

/// What one daemon spent.
struct control_cost {
  std::uint64_t starts = 0;
  std::uint64_t agent_calls = 0;
  double cpu_seconds = 0;
  double agent_bytes_per_s = 0;
  double store_bytes_per_s = 0;
  double journal_writes_per_s = 0;
  double journal_reads_per_s = 0;
  double memory_mb = 0;
};

/// One scheduler's share of the shards, led by the product's runners in
/// virtual time.
class measured_daemon {
 public:
  explicit measured_daemon(const control_load& load);

  /// Fills the workers, then measures starts and ends at the given rate.
  control_cost Run();

 private:
  struct led_shard {
    std::unique_ptr<shards::shard_runner> runner;
    std::vector<coordination::instance> workers;
  };

  void AddShard(int number, int workers);
  void SubmitTo(std::size_t shard);
  void RunRounds();

  control_load load_;
  base::manual_clock clock_;
  cpu_meter meter_;
  counted_store store_;
  measured_agents agents_;
  std::shared_ptr<protocol::ownership_lease> held_;
  std::vector<led_shard> shards_;
  std::uint64_t last_task_ = 0;
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_CONTROL_MEASURED_DAEMON_H_
