#ifndef CHIVECRANK_TESTS_BENCH_PLACEMENT_SIMULATION_H_
#define CHIVECRANK_TESTS_BENCH_PLACEMENT_SIMULATION_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/scheduling/planner.h"
#include "fake_worker.h"
#include "scenario.h"

namespace chivecrank::bench {

/// What a run is judged by.
struct outcome {
  double service_p99_inflation = 0;
  double batch_done_per_hour = 0;
  double finished_by_morning = 0;
  std::int64_t evictions = 0;
  double lost_work_s = 0;
  std::int64_t overcommitted = 0;
  std::int64_t double_runs = 0;
  double urgent_start_p99_s = 0;
  /// Share of service samples above twice the latency alone.
  double service_late_ratio = 0;
  /// Nightly tasks that were not done by the morning.
  std::int64_t nightly_missed = 0;
  std::int64_t parked = 0;
  /// Processor time of decisions per planned event.
  double us_per_decision = 0;
};

/// One night of the real decision code over fake workers in virtual time.
class simulation {
 public:
  simulation(const scenario& played,
             std::unique_ptr<scheduling::planner> policy,
             std::uint64_t seed);

  outcome Run();

 private:
  /// What the shell knows of a worker.
  struct link {
    fake_worker worker;
    elapsed last_heard{0};
  };
  struct late_sample {
    elapsed arrives{0};
    scheduling::service_sample sample;
  };

  base::wall_time Wall(elapsed at) const;
  void Record(const scheduling::event& recorded);
  void Accept(scheduling::task_request request);
  void AcceptServices();
  void AcceptArrivals();
  void StartOutages();
  void CancelSome();
  void HearWorkers();
  void RecordEnd(const fake_end& ended);
  void RecordLost(link& lost);
  void PlanRound();
  void CarryOut(const scheduling::event& planned);
  void StartAttempt(const scheduling::attempt_started& start);
  void SampleServices();
  void DeliverSamples();
  void CheckLimits();
  scheduling::task_request RequestOf(const arrival& arrived);
  outcome Judge();

  const scenario& scenario_;
  const std::unique_ptr<scheduling::planner> planner_;
  std::mt19937_64 random_;
  scheduling::shard_state state_;
  std::map<std::string, link> links_;
  std::deque<late_sample> samples_;
  std::size_t next_arrival_ = 0;
  std::size_t next_cancellation_ = 0;
  elapsed now_{0};

  outcome outcome_;
  std::vector<double> inflations_;
  std::map<std::string, elapsed> urgent_accepted_;
  std::vector<double> urgent_starts_s_;
  std::int64_t batch_done_ = 0;
  std::int64_t nightly_ = 0;
  std::int64_t nightly_done_ = 0;
  std::int64_t decisions_ = 0;
  std::chrono::nanoseconds decision_time_{0};
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_PLACEMENT_SIMULATION_H_
