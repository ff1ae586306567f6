#ifndef CHIVECRANK_TESTS_BENCH_CONTROL_MEASURED_AGENTS_H_
#define CHIVECRANK_TESTS_BENCH_CONTROL_MEASURED_AGENTS_H_

#include <map>
#include <random>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/protocol/worker_fence.h"
#include "chivecrank/workers/agent.h"
#include "cpu_meter.h"

namespace chivecrank::bench {

/// Workers in this process. Messages are encoded and decoded as on the wire;
/// their bytes are counted, and only the scheduler's part of the time counts.
class measured_agents final : public workers::agent {
 public:
  measured_agents(base::clock& clock, cpu_meter& meter, std::uint64_t seed);

  base::result<workers::sync_report> Sync(
      const settings::endpoint& worker,
      const workers::sync_command& command) override;

  /// Lets one running attempt end; false when none runs.
  bool EndOne();

  std::uint64_t calls() const { return calls_; }
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t starts() const { return starts_; }
  std::size_t running() const { return running_.size(); }

 private:
  struct known_attempt {
    workers::attempt_report report;
    std::uint64_t changed = 0;
  };
  struct worker_state {
    protocol::worker_fence fence{"0f3a91c2"};
    std::uint64_t position = 0;
    std::map<workers::attempt_id, known_attempt> known;
  };
  using place = std::pair<std::string, workers::attempt_id>;

  workers::sync_report Serve(const std::string& name,
                             const workers::sync_command& command);

  base::clock& clock_;
  cpu_meter& meter_;
  std::mt19937_64 random_;
  std::map<std::string, worker_state> workers_;
  std::vector<place> running_;
  std::uint64_t calls_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t starts_ = 0;
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_CONTROL_MEASURED_AGENTS_H_
