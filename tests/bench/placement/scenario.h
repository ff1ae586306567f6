#ifndef CHIVECRANK_TESTS_BENCH_PLACEMENT_SCENARIO_H_
#define CHIVECRANK_TESTS_BENCH_PLACEMENT_SCENARIO_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chivecrank/scheduling/types.h"

namespace chivecrank::bench {

/// Virtual time since the start of a run.
using elapsed = std::chrono::milliseconds;

/// What a service is and suffers in truth.
struct service_truth {
  std::string name;
  int replicas = 0;
  coordination::resources size;
  /// Inflation that full exposure to a batch template adds, at full load.
  std::map<std::string, double> slopes;
};

/// What a batch template is in truth.
struct batch_truth {
  std::string name;
  coordination::resources size;
  std::chrono::seconds run_time{0};
  /// Declared relative to the true size and run time.
  double declared_ratio = 1;
  bool checkpoints = true;
};

/// A task that arrives at a time.
struct arrival {
  elapsed at{0};
  std::string template_name;
  bool urgent = false;
  /// Has to be done by the morning.
  bool nightly = false;
  std::string team;
  std::string gang;
  std::int64_t gang_size = 1;
};

/// Workers that go wrong for a while.
struct outage {
  elapsed from{0};
  elapsed to{0};
  /// The rack or failure domain that is hit.
  std::string place;
  /// Whether the workers lose their tasks, or run on unreachable.
  bool dies = false;
};

/// Everything that happens in a run, whatever the policy does.
struct scenario {
  std::string name;
  std::vector<service_truth> services;
  std::vector<batch_truth> batches;
  std::vector<arrival> arrivals;
  std::vector<outage> outages;
  /// Workers that crash every task.
  std::vector<std::string> bad_workers;
  /// A template that crashes everywhere; empty for none.
  std::string bad_template;
  /// Times at which a part of the waiting and running batch is cancelled.
  std::vector<elapsed> cancellations;
  /// Workers in it; arrivals and replicas grow with them.
  int racks_per_domain = 0;
  /// Load of services swings by this much, with sudden steps.
  bool load_shifts = false;
};

/// Length of a run: a night.
inline constexpr std::chrono::minutes kNight{60};

std::vector<std::string> ScenarioNames();
/// A rack has six workers.
scenario MakeScenario(const std::string& name,
                      std::uint64_t seed,
                      int racks_per_domain);

/// Load of a service's replicas at a time, 0 to 1.
double LoadAt(const scenario& in, const std::string& service, elapsed at);

/// Workers in racks of four failure domains.
std::vector<scheduling::worker_view> MakeWorkers(int racks_per_domain);

const batch_truth* FindBatch(const scenario& in, const std::string& name);
const service_truth* FindService(const scenario& in, const std::string& name);

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_PLACEMENT_SCENARIO_H_
