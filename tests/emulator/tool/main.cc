#include <absl/flags/flag.h>

#include <iostream>

#include "chivecrank/emulator/day.h"
#include "chivecrank/process/program.h"

ABSL_FLAG(std::string, day, "", "TOML file that describes the day");
ABSL_FLAG(std::uint64_t, seed, 1, "draws arrivals and what the faults hit");
ABSL_FLAG(bool,
          log,
          false,
          "prints the instances' log lines to standard error");
ABSL_FLAG(bool, json, false, "prints the report as JSON");

namespace {

constexpr int kBrokenPromise = 1;
constexpr int kWrongDay = 2;

}  // namespace

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("chivecrank_emulate",
                      "Plays a day with the real decision code under a manual "
                      "clock, against emulated workers, callers and store.",
                      argc, argv);
  emulator::day_file read = emulator::ReadDay(absl::GetFlag(FLAGS_day));
  for (const settings::problem& problem : read.problems)
    std::cerr << settings::Describe(problem) << "\n";
  if (!read.problems.empty())
    return kWrongDay;
  if (absl::GetFlag(FLAGS_log))
    read.day.system.on_log_line = [](std::string_view line) {
      std::cerr << line;
    };
  const emulator::day_report report =
      emulator::PlayDay(read.day, absl::GetFlag(FLAGS_seed));
  if (absl::GetFlag(FLAGS_json))
    std::cout << emulator::ReportAsJson(report) << "\n";
  else
    std::cout << emulator::ReportAsText(report);
  return report.KeepsPromises() ? 0 : kBrokenPromise;
}
