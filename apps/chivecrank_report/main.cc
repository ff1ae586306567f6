#include <absl/flags/flag.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "chivecrank/base/system_clock.h"
#include "chivecrank/objectives/alert_rules.h"
#include "chivecrank/objectives/burn.h"
#include "chivecrank/objectives/html_report.h"
#include "chivecrank/objectives/sample_codec.h"
#include "chivecrank/objectives/text_report.h"
#include "chivecrank/process/program.h"
#include "chivecrank/process/stop_signal.h"
#include "chivecrank/settings/document.h"
#include "collector.h"

ABSL_FLAG(std::string, samples, "samples.jsonl", "file of collected samples");
ABSL_FLAG(std::string, format, "text", "text, json or html");
ABSL_FLAG(std::vector<std::string>,
          targets,
          {},
          "collect: status addresses of the entries, ip:port,ip:port");
ABSL_FLAG(std::string,
          admin,
          "127.0.0.1:7400",
          "collect: ip:port of the administration API");
ABSL_FLAG(int, period_ms, 15'000, "collect: time between two rounds");
ABSL_FLAG(int, rounds, 1, "collect: how often to read every entry");

namespace chivecrank {
namespace {

enum class exit_code : int { kOk = 0, kFailed = 1, kBadUsage = 2 };

constexpr std::string_view kUsage =
    "usage: chivecrank_report [flags] collect|show|rules\n"
    "  collect  append samples of the entries' /metrics to --samples; the\n"
    "           operator's token is taken from CHIVECRANK_TOKEN\n"
    "  show     print the report on --samples as --format\n"
    "  rules    print Prometheus alert rules for the objectives in --samples\n";

exit_code Fail(const base::error& failure) {
  std::cerr << base::Describe(failure) << "\n";
  return failure.kind == base::error_kind::kInvalidArgument
             ? exit_code::kBadUsage
             : exit_code::kFailed;
}

/// Reads the addresses of the flags; prints what is wrong with them.
bool ReadAddresses(collector_options& options) {
  std::ostringstream text;
  text << "admin = '" << absl::GetFlag(FLAGS_admin) << "'\ntargets = [";
  for (const std::string& target : absl::GetFlag(FLAGS_targets))
    text << "'" << target << "',";
  text << "]\n";
  settings::document flags = settings::document::FromText(text.str(), "flags");
  settings::section root = flags.Root();
  options.admin = root.Endpoint("admin");
  options.targets = root.EndpointsOr("targets", {});
  if (options.targets.empty())
    root.Reject("targets", "names no entry", "give --targets=ip:port,...");
  const auto problems = flags.Finish();
  for (const settings::problem& fault : problems)
    std::cerr << "--" << fault.key << " " << fault.message << "; "
              << fault.remedy << "\n";
  return problems.empty();
}

exit_code Collect() {
  collector_options options;
  if (!ReadAddresses(options))
    return exit_code::kBadUsage;
  const char* token = std::getenv("CHIVECRANK_TOKEN");
  options.token = token == nullptr ? "" : token;
  options.period = std::chrono::milliseconds(absl::GetFlag(FLAGS_period_ms));
  options.rounds = absl::GetFlag(FLAGS_rounds);
  std::ofstream output(absl::GetFlag(FLAGS_samples), std::ios::app);
  if (!output) {
    return Fail({base::error_kind::kInvalidArgument,
                 "can't write " + absl::GetFlag(FLAGS_samples),
                 "give a writable file with --samples"});
  }
  base::system_clock clock;
  const auto done = collector(clock, options).Run(output);
  return done.has_value() ? exit_code::kOk : Fail(done.error());
}

base::result<objectives::sample_file> Read() {
  std::ifstream input(absl::GetFlag(FLAGS_samples));
  if (!input) {
    return base::error{base::error_kind::kInvalidArgument,
                       "can't read " + absl::GetFlag(FLAGS_samples),
                       "give a readable file with --samples"};
  }
  return objectives::ReadSamples(input);
}

exit_code Show(const objectives::sample_file& read) {
  const objectives::burn_report report =
      objectives::ComputeBurn(read.objectives, read.samples);
  const std::string format = absl::GetFlag(FLAGS_format);
  if (format == "text")
    std::cout << objectives::TextReport(report);
  else if (format == "json")
    std::cout << http::ToText(objectives::JsonReport(report)) << "\n";
  else if (format == "html")
    std::cout << objectives::HtmlReport(report);
  else
    return Fail({base::error_kind::kInvalidArgument,
                 "\"" + format + "\" is not a format",
                 "give --format=text, json or html"});
  return exit_code::kOk;
}

exit_code Run(const std::vector<std::string>& arguments) {
  const std::string command = arguments.size() == 1 ? arguments[0] : "";
  if (command == "collect")
    return Collect();
  if (command != "show" && command != "rules") {
    std::cerr << kUsage;
    return exit_code::kBadUsage;
  }
  const auto read = Read();
  if (!read.has_value())
    return Fail(read.error());
  if (command == "show")
    return Show(read.value());
  std::cout << objectives::AlertRules(read.value().objectives);
  return exit_code::kOk;
}

}  // namespace
}  // namespace chivecrank

int main(int argc, char** argv) {
  using namespace chivecrank;
  const auto arguments = process::Initialize(
      "chivecrank_report", "Reports on the burn of service level objectives.",
      argc, argv);
  process::RestoreStopSignals();
  return static_cast<int>(Run(arguments));
}
