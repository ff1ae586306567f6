#include <absl/flags/flag.h>

#include <algorithm>
#include <iostream>
#include <thread>

#include "chivecrank/process/program.h"
#include "configuration_operator.h"
#include "fleet_probe.h"

ABSL_FLAG(int, instances, 7, "instances of three daemons each");
ABSL_FLAG(int, changes, 10, "changes to time");
ABSL_FLAG(int, idle_seconds, 20, "length of the idle measurement");
ABSL_FLAG(int, outage_seconds, 0, "length of a store outage under changes");
ABSL_FLAG(std::uint64_t, seed, 1, "accepted by every benchmark; not used here");
ABSL_FLAG(bool, json, false, "print JSON");

namespace chivecrank::harness {
namespace {

using clock = std::chrono::steady_clock;
using store_calls = std::map<std::string, std::int64_t>;

constexpr std::chrono::seconds kLimit{120};
constexpr std::chrono::milliseconds kPoll{5};
constexpr std::chrono::seconds kSettling{10};
constexpr double kMinute = 60;

double SecondsSince(clock::time_point start) {
  return std::chrono::duration<double>(clock::now() - start).count();
}

/// Seconds until all daemons have a revision in force; -1 after the limit.
double TimeToInForce(configuration_operator& reader, std::int64_t revision) {
  const clock::time_point start = clock::now();
  while (clock::now() - start < kLimit) {
    if (reader.LowestInForce() >= revision)
      return SecondsSince(start);
    std::this_thread::sleep_for(kPoll);
  }
  return -1;
}

http::json_object Difference(const store_calls& before,
                             const store_calls& after,
                             double scale) {
  http::json_object result = new Poco::JSON::Object;
  for (const auto& [name, count] : after) {
    const auto found = before.find(name);
    const std::int64_t earlier = found == before.end() ? 0 : found->second;
    if (count > earlier)
      result->set(name, static_cast<double>(count - earlier) * scale);
  }
  return result;
}

void MeasureChanges(deployment& system, http::json_object& report) {
  const int changes = absl::GetFlag(FLAGS_changes);
  configuration_operator writer(system.InstanceAt(0).admin, "mere");
  configuration_operator reader(system.InstanceAt(1).admin, "sala");
  const store_calls before = ReadStoreCalls(system);
  std::vector<double> times;
  for (int i = 0; i < changes; ++i) {
    const auto revision = writer.AddTeam("team-" + std::to_string(i), kLimit);
    times.push_back(TimeToInForce(reader, revision));
  }
  std::sort(times.begin(), times.end());
  report->set("in_force_seconds_median", times[times.size() / 2]);
  report->set("in_force_seconds_worst", times.back());
  report->set("store_calls_per_change",
              Difference(before, ReadStoreCalls(system), 1.0 / changes));
}

void MeasureIdle(deployment& system, int instances, http::json_object& report) {
  std::this_thread::sleep_for(kSettling);
  const store_calls calls = ReadStoreCalls(system);
  const fleet_totals before = ReadTotals(system, instances);
  const clock::time_point start = clock::now();
  std::this_thread::sleep_for(
      std::chrono::seconds(absl::GetFlag(FLAGS_idle_seconds)));
  const fleet_totals after = ReadTotals(system, instances);
  const double passed = SecondsSince(start);
  const double daemons = after.daemons;
  report->set("daemons", after.daemons);
  report->set("peer_bytes_per_second_and_daemon",
              (after.peer_bytes - before.peer_bytes) / passed / daemons);
  report->set("peer_calls_per_second_and_daemon",
              (after.peer_calls - before.peer_calls) / passed / daemons);
  report->set(
      "core_share_per_daemon",
      (after.processor_seconds - before.processor_seconds) / passed / daemons);
  report->set("resident_mib_per_daemon",
              after.resident_bytes / daemons / (1 << 20));
  report->set("store_calls_per_idle_minute",
              Difference(calls, ReadStoreCalls(system), kMinute / passed));
}

/// Takes the store down while an operator goes on, and notes how long the
/// change waited and when it was in force after the store came back.
void MeasureOutage(deployment& system, http::json_object& report) {
  const std::chrono::seconds outage(absl::GetFlag(FLAGS_outage_seconds));
  if (outage.count() == 0)
    return;
  configuration_operator writer(system.InstanceAt(0).admin, "mere");
  configuration_operator reader(system.InstanceAt(1).admin, "sala");
  system.SetPlatformFaults(R"({"down":true})");
  std::thread back([&] {
    std::this_thread::sleep_for(outage);
    system.SetPlatformFaults("{}");
  });
  const clock::time_point start = clock::now();
  const auto revision = writer.AddTeam("outage", kLimit);
  report->set("outage_change_seconds", SecondsSince(start));
  report->set("outage_in_force_seconds", TimeToInForce(reader, revision));
  back.join();
}

int Run() {
  deployment_options options;
  options.instances = absl::GetFlag(FLAGS_instances);
  options.workers = 0;
  deployment system(options);
  if (!system.Start()) {
    std::cerr << "the deployment did not get ready\n";
    return static_cast<int>(process::exit_code::kFailed);
  }
  http::json_object report = new Poco::JSON::Object;
  report->set("suite", "configuration");
  report->set("instances", options.instances);
  MeasureChanges(system, report);
  MeasureIdle(system, options.instances, report);
  MeasureOutage(system, report);
  report->stringify(std::cout, absl::GetFlag(FLAGS_json) ? 0 : 2);
  std::cout << "\n";
  return static_cast<int>(process::exit_code::kOk);
}

}  // namespace
}  // namespace chivecrank::harness

int main(int argc, char** argv) {
  chivecrank::process::Initialize(
      "bench_configuration",
      "Measures how a configuration spreads over real processes.", argc, argv);
  return chivecrank::harness::Run();
}
