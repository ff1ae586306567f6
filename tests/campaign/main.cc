#include <absl/flags/flag.h>

#include <iostream>

#include "campaign.h"
#include "chivecrank/process/program.h"
#include "chivecrank/process/stop_signal.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults and of the callers");
ABSL_FLAG(int, minutes, 0, "how long to inject faults, minutes");
ABSL_FLAG(int, seconds, 60, "how long to inject faults, when minutes is 0");
ABSL_FLAG(int, instances, 7, "system instances");
ABSL_FLAG(int, workers, 12, "workers");
ABSL_FLAG(std::string, configuration, "config/tanoa.toml", "operators' file");

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("chivecrank_campaign",
                      "Runs a deployment under random faults and checks what "
                      "must always hold.",
                      argc, argv);
  process::RestoreStopSignals();
  harness::campaign_options options;
  options.seed = absl::GetFlag(FLAGS_seed);
  const int minutes = absl::GetFlag(FLAGS_minutes);
  options.lasts = minutes > 0
                      ? std::chrono::minutes(minutes)
                      : std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  options.instances = absl::GetFlag(FLAGS_instances);
  options.workers = absl::GetFlag(FLAGS_workers);
  options.configuration = absl::GetFlag(FLAGS_configuration);
  harness::campaign campaign(options);
  if (!campaign.Run())
    return 1;
  std::cout << campaign.Table().Describe() << campaign.RequestSummary() << "\n";
  const std::int64_t violations = campaign.Table().Violations();
  std::cout << "campaign: seed=" << options.seed << " violations=" << violations
            << std::endl;
  return violations == 0 ? 0 : 1;
}
