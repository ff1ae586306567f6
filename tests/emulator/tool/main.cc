#include <absl/flags/flag.h>

#include <iostream>
#include <optional>
#include <vector>

#include "chivecrank/emulator/day.h"
#include "chivecrank/emulator/hunt.h"
#include "chivecrank/process/program.h"

ABSL_FLAG(std::string, day, "", "TOML file that describes the day");
ABSL_FLAG(std::uint64_t,
          hunt,
          0,
          "plays so many days that are drawn from the seed and those after it");
ABSL_FLAG(bool, drains, false, "hunted days also drain failure domains");
ABSL_FLAG(bool,
          losses,
          false,
          "on hunted days workers are also lost just after changes of owner");
ABSL_FLAG(bool,
          leavers,
          false,
          "on hunted days workers also leave one by one as owners change");
ABSL_FLAG(std::uint64_t, seed, 1, "draws arrivals and what the faults hit");
ABSL_FLAG(bool,
          log,
          false,
          "prints the instances' log lines to standard error");
ABSL_FLAG(bool, json, false, "prints the report as JSON");

namespace chivecrank::emulator {
namespace {

constexpr int kKept = 0;
constexpr int kBrokenPromise = 1;
constexpr int kWrongDay = 2;

/// Plays a day as the flags say.
day_report Play(day_description day, std::uint64_t seed) {
  if (absl::GetFlag(FLAGS_log))
    day.system.on_log_line = [](std::string_view line) { std::cerr << line; };
  return PlayDay(day, seed);
}

void Print(const day_report& report) {
  if (absl::GetFlag(FLAGS_json))
    std::cout << ReportAsJson(report) << "\n";
  else
    std::cout << ReportAsText(report);
}

int PlayFile(const std::string& path) {
  const day_file read = ReadDay(path);
  for (const settings::problem& problem : read.problems)
    std::cerr << settings::Describe(problem) << "\n";
  if (!read.problems.empty())
    return kWrongDay;
  const day_report report = Play(read.day, absl::GetFlag(FLAGS_seed));
  Print(report);
  return report.KeepsPromises() ? kKept : kBrokenPromise;
}

/// What hunted days have beside the usual; std::nullopt if the flags clash.
std::optional<hunt_kind> WantedKind() {
  std::vector<hunt_kind> wanted;
  if (absl::GetFlag(FLAGS_drains))
    wanted.push_back(hunt_kind::kWithDrains);
  if (absl::GetFlag(FLAGS_losses))
    wanted.push_back(hunt_kind::kWithLosses);
  if (absl::GetFlag(FLAGS_leavers))
    wanted.push_back(hunt_kind::kWithLeavers);
  if (wanted.size() > 1)
    return std::nullopt;
  return wanted.empty() ? hunt_kind::kUsual : wanted.front();
}

/// Tells each day that broke a promise; a single day is reported in full.
int Hunt(std::uint64_t days) {
  const std::uint64_t first = absl::GetFlag(FLAGS_seed);
  const std::optional<hunt_kind> kind = WantedKind();
  if (!kind) {
    std::cerr << "--drains, --losses and --leavers are hunts of their own: "
                 "give one\n";
    return kWrongDay;
  }
  std::uint64_t broken = 0;
  for (std::uint64_t seed = first; seed < first + days; ++seed) {
    const day_description day = HuntedDay(seed, *kind);
    const day_report report = Play(day, seed);
    if (days == 1)
      Print(report);
    if (report.KeepsPromises())
      continue;
    ++broken;
    std::cout << DescribeBrokenDay(day, report, seed) << std::endl;
  }
  std::cerr << days << " days played, " << broken << " broke a promise\n";
  return broken == 0 ? kKept : kBrokenPromise;
}

}  // namespace
}  // namespace chivecrank::emulator

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("chivecrank_emulate",
                      "Plays days with the real decision code under a manual "
                      "clock, against emulated workers, callers and store.",
                      argc, argv);
  const std::uint64_t days = absl::GetFlag(FLAGS_hunt);
  return days > 0 ? emulator::Hunt(days)
                  : emulator::PlayFile(absl::GetFlag(FLAGS_day));
}
