#include "chivecrank/process/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <glog/logging.h>

#include <iostream>

#include "chivecrank/process/stop_signal.h"

ABSL_FLAG(std::string, settings, "", "path of the TOML settings file");
ABSL_FLAG(bool,
          check_settings,
          false,
          "check the settings file, print its problems and exit");

namespace chivecrank::process {
namespace {

constexpr std::string_view kVersion = "0.1.0";

std::string VersionText(std::string_view name) {
  return std::string(name) + " " + std::string(kVersion) + "\n";
}

bool PrintProblems(const std::vector<settings::problem>& problems) {
  for (const settings::problem& fault : problems)
    std::cerr << settings::Describe(fault) << "\n";
  return !problems.empty();
}

}  // namespace

std::vector<std::string> Initialize(std::string_view name,
                                    std::string_view summary,
                                    int argc,
                                    char** argv) {
  absl::SetProgramUsageMessage(std::string(summary));
  absl::FlagsUsageConfig usage;
  usage.version_string = [text = VersionText(name)] { return text; };
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  BlockStopSignals();
  return {arguments.begin() + 1, arguments.end()};
}

int RunDaemon(const std::function<void(settings::section&)>& read,
              const std::function<exit_code()>& run,
              const std::string& fallback_path) {
  const std::string settings_path = absl::GetFlag(FLAGS_settings);
  settings::document file = settings::document::FromFile(
      settings_path.empty() ? fallback_path : settings_path);
  settings::section root = file.Root();
  read(root);
  if (PrintProblems(file.Finish()))
    return static_cast<int>(exit_code::kBadSettings);
  if (absl::GetFlag(FLAGS_check_settings))
    return static_cast<int>(exit_code::kOk);
  return static_cast<int>(run());
}

}  // namespace chivecrank::process
