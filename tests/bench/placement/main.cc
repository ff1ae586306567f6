#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <iostream>

#include "chivecrank/http/json.h"
#include "policies.h"
#include "simulation.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals, noise and random choices");
ABSL_FLAG(bool, json, false, "one JSON object a line in place of a table");
ABSL_FLAG(std::string, scenario, "", "run only this scenario");
ABSL_FLAG(int,
          racks_per_domain,
          2,
          "racks of six workers in each of 4 domains");
ABSL_FLAG(std::string, policy, "", "run only this policy");

namespace chivecrank::bench {
namespace {

void PrintJson(const std::string& scenario_name,
               const std::string& policy,
               std::uint64_t seed,
               const outcome& seen) {
  http::json_object line = new Poco::JSON::Object;
  line->set("suite", "placement");
  line->set("scenario", scenario_name);
  line->set("policy", policy);
  line->set("seed", static_cast<Poco::UInt64>(seed));
  line->set("service_p99_inflation", seen.service_p99_inflation);
  line->set("batch_done_per_hour", seen.batch_done_per_hour);
  line->set("finished_by_morning", seen.finished_by_morning);
  line->set("evictions", static_cast<Poco::Int64>(seen.evictions));
  line->set("lost_work_s", seen.lost_work_s);
  line->set("overcommitted", static_cast<Poco::Int64>(seen.overcommitted));
  line->set("double_runs", static_cast<Poco::Int64>(seen.double_runs));
  line->set("urgent_start_p99_s", seen.urgent_start_p99_s);
  line->set("service_late_ratio", seen.service_late_ratio);
  line->set("nightly_missed", static_cast<Poco::Int64>(seen.nightly_missed));
  line->set("parked", static_cast<Poco::Int64>(seen.parked));
  std::cout << http::ToText(line) << std::endl;
}

void PrintRow(const std::string& scenario_name,
              const std::string& policy,
              const outcome& seen) {
  std::printf(
      "%-18s %-10s p99 %5.2f late %6.4f done/h %6.0f by_morning %6.4f "
      "missed %4lld evicted %4lld lost %7.0f s over %lld double %lld "
      "urgent %6.2f s parked %lld %.1f us\n",
      scenario_name.c_str(), policy.c_str(), seen.service_p99_inflation,
      seen.service_late_ratio, seen.batch_done_per_hour,
      seen.finished_by_morning, static_cast<long long>(seen.nightly_missed),
      static_cast<long long>(seen.evictions), seen.lost_work_s,
      static_cast<long long>(seen.overcommitted),
      static_cast<long long>(seen.double_runs), seen.urgent_start_p99_s,
      static_cast<long long>(seen.parked), seen.us_per_decision);
  std::fflush(stdout);
}

void RunOne(const scenario& played, const std::string& policy) {
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  simulation run(played, MakePolicy(policy, played, seed), seed);
  const outcome seen = run.Run();
  if (absl::GetFlag(FLAGS_json))
    PrintJson(played.name, policy, seed, seen);
  else
    PrintRow(played.name, policy, seen);
}

void RunAll() {
  const std::string only_scenario = absl::GetFlag(FLAGS_scenario);
  const std::string only_policy = absl::GetFlag(FLAGS_policy);
  for (const std::string& name : ScenarioNames()) {
    if (!only_scenario.empty() && name != only_scenario)
      continue;
    const scenario played = MakeScenario(name, absl::GetFlag(FLAGS_seed),
                                         absl::GetFlag(FLAGS_racks_per_domain));
    for (const std::string& policy : PolicyNames()) {
      if (only_policy.empty() || policy == only_policy)
        RunOne(played, policy);
    }
  }
}

}  // namespace
}  // namespace chivecrank::bench

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  chivecrank::bench::RunAll();
  return 0;
}
