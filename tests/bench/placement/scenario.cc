#include "scenario.h"

#include <algorithm>
#include <functional>
#include <random>

namespace chivecrank::bench {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kDomains = 4;
/// The fleet that the numbers below are meant for.
constexpr int kUsualRacksPerDomain = 2;
constexpr int kWorkersPerRack = 6;
constexpr coordination::resources kWorkerSize{16'000, 61'440, 0};
constexpr coordination::resources kAcceleratorWorkerSize{16'000, 61'440, 4};

constexpr double kUsualLoad = 0.55;
constexpr int kNightlyTasks = 2800;
constexpr int kTeams = 4;
constexpr seconds kSteadyInterval{4};
constexpr seconds kUrgentInterval{15};
constexpr minutes kGangInterval{10};
constexpr int kGangSize = 4;
constexpr minutes kWaveInterval{10};
constexpr int kWaveTasks = 120;

std::vector<service_truth> Services() {
  return {{"dispatch",
           16,
           {4000, 8192, 0},
           {{"scan", 3.2},
            {"render", 0.5},
            {"train", 0.3},
            {"reconcile", 1.0},
            {"noisy", 4.0},
            {"index", 0.2},
            {"broken", 0.2}}},
          {"planning",
           12,
           {4000, 8192, 0},
           {{"scan", 0.3},
            {"render", 2.6},
            {"train", 0.4},
            {"reconcile", 0.4},
            {"noisy", 2.5},
            {"index", 1.2},
            {"broken", 0.2}}},
          {"watch",
           8,
           {2000, 4096, 0},
           {{"scan", 0.8},
            {"render", 0.2},
            {"train", 1.8},
            {"reconcile", 0.2},
            {"noisy", 3.0},
            {"index", 2.4},
            {"broken", 0.2}}}};
}

std::vector<batch_truth> Batches() {
  return {{"scan", {3000, 6144, 0}, seconds(180)},
          {"render", {4000, 4096, 0}, seconds(240)},
          {"reconcile", {2000, 8192, 0}, seconds(150)},
          {"index", {2000, 4096, 0}, seconds(120)},
          {"train", {2000, 8192, 1}, seconds(300)},
          {"noisy", {3000, 4096, 0}, seconds(90), 1, false},
          {"urgent", {1000, 2048, 0}, seconds(20), 1, false},
          {"broken", {1000, 2048, 0}, seconds(60)}};
}

int Grown(int usual, int racks_per_domain) {
  return usual * racks_per_domain / kUsualRacksPerDomain;
}

std::string TeamOf(int number) {
  return "team-" + std::to_string(number % kTeams);
}

void AddEvery(scenario& in,
              std::chrono::milliseconds interval,
              std::mt19937_64& random,
              const std::function<arrival(elapsed)>& make) {
  std::exponential_distribution<double> gap(
      1.0 / static_cast<double>(interval.count()));
  double at = gap(random);
  while (at < static_cast<double>(elapsed(kNight).count())) {
    in.arrivals.push_back(make(elapsed(static_cast<std::int64_t>(at))));
    at += gap(random);
  }
}

void AddMix(scenario& in, std::mt19937_64& random) {
  const std::vector<std::string> nightly = {"scan", "render", "reconcile",
                                            "index"};
  std::uniform_int_distribution<std::size_t> pick(0, nightly.size() - 1);
  for (int task = 0; task < Grown(kNightlyTasks, in.racks_per_domain); ++task) {
    in.arrivals.push_back(
        {elapsed(0), nightly[pick(random)], false, true, TeamOf(task)});
  }
  AddEvery(
      in,
      std::chrono::milliseconds(kSteadyInterval) * kUsualRacksPerDomain /
          in.racks_per_domain,
      random, [&](elapsed at) {
        const auto team = static_cast<int>(pick(random));
        return arrival{at, nightly[pick(random)], false, false, TeamOf(team)};
      });
  AddEvery(in, kUrgentInterval, random, [&](elapsed at) {
    return arrival{at, "urgent", true, false, TeamOf(0)};
  });
  int gang = 0;
  for (elapsed at = minutes(1); at < elapsed(kNight); at += kGangInterval) {
    const std::string name = "gang-" + std::to_string(gang++);
    for (int member = 0; member < kGangSize; ++member) {
      in.arrivals.push_back(
          {at, "train", false, false, TeamOf(1), name, kGangSize});
    }
  }
}

void AddWaves(scenario& in) {
  for (elapsed at = minutes(5); at < elapsed(kNight); at += kWaveInterval) {
    for (int task = 0; task < kWaveTasks; ++task)
      in.arrivals.push_back({at, "noisy", false, false, TeamOf(2)});
  }
}

}  // namespace

std::vector<std::string> ScenarioNames() {
  return {"steady_mix",      "load_shift",        "noisy_waves", "sizes_off",
          "failing_workers", "cancellation_wave", "rack_lost",   "domain_lost"};
}

scenario MakeScenario(const std::string& name,
                      std::uint64_t seed,
                      int racks_per_domain) {
  std::mt19937_64 random(seed);
  scenario made;
  made.name = name;
  made.racks_per_domain = racks_per_domain;
  made.services = Services();
  for (service_truth& service : made.services)
    service.replicas = Grown(service.replicas, racks_per_domain);
  made.batches = Batches();
  AddMix(made, random);
  if (name == "load_shift")
    made.load_shifts = true;
  if (name == "noisy_waves")
    AddWaves(made);
  if (name == "sizes_off") {
    for (std::size_t i = 0; i < made.batches.size(); ++i)
      made.batches[i].declared_ratio = i % 2 == 0 ? 1.0 / 3 : 1.5;
  }
  if (name == "failing_workers") {
    made.bad_workers = {"d0-r0-w1", "d1-r1-w3", "d2-r0-w5", "d3-r1-w0"};
    for (int task = 0; task < kWaveTasks; ++task) {
      made.arrivals.push_back({minutes(10), "broken", false, false, TeamOf(3)});
    }
    made.bad_template = "broken";
  }
  if (name == "cancellation_wave")
    made.cancellations = {minutes(15), minutes(35)};
  if (name == "rack_lost")
    made.outages = {{minutes(20), minutes(40), "d1-r0", true}};
  if (name == "domain_lost")
    made.outages = {{minutes(20), minutes(32), "d2", false}};
  std::stable_sort(made.arrivals.begin(), made.arrivals.end(),
                   [](const arrival& left, const arrival& right) {
                     return left.at < right.at;
                   });
  return made;
}

double LoadAt(const scenario& in, const std::string& service, elapsed at) {
  if (!in.load_shifts)
    return kUsualLoad;
  const auto minute = std::chrono::duration_cast<minutes>(at).count();
  const std::int64_t phase = service == "dispatch" ? 0 : 7;
  return (minute + phase) / 10 % 2 == 0 ? 0.35 : 0.9;
}

std::vector<scheduling::worker_view> MakeWorkers(int racks_per_domain) {
  std::vector<scheduling::worker_view> workers;
  for (int domain = 0; domain < kDomains; ++domain) {
    for (int rack = 0; rack < racks_per_domain; ++rack) {
      for (int number = 0; number < kWorkersPerRack; ++number) {
        const std::string domain_name = "d" + std::to_string(domain);
        const std::string rack_name = domain_name + "-r" + std::to_string(rack);
        workers.push_back({rack_name + "-w" + std::to_string(number),
                           number == 0 ? kAcceleratorWorkerSize : kWorkerSize,
                           rack_name, domain_name});
      }
    }
  }
  return workers;
}

const batch_truth* FindBatch(const scenario& in, const std::string& name) {
  for (const batch_truth& known : in.batches) {
    if (known.name == name)
      return &known;
  }
  return nullptr;
}

const service_truth* FindService(const scenario& in, const std::string& name) {
  for (const service_truth& known : in.services) {
    if (known.name == name)
      return &known;
  }
  return nullptr;
}

}  // namespace chivecrank::bench
