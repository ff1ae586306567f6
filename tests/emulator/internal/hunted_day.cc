#include "internal/hunted_day.h"

#include <algorithm>
#include <array>

#include "chivecrank/emulator/hunt.h"

namespace chivecrank::emulator::internal {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLoad{32'000};
constexpr milliseconds kRest{40'000};
/// Faults overlap around so many moments of the load.
constexpr std::int64_t kMoments = 3;
constexpr milliseconds kFirstMoment{2000};
constexpr milliseconds kLastMoment{16'000};
constexpr milliseconds kSpread{4000};
constexpr std::int64_t kFewestFaults = 3;
constexpr std::int64_t kMostFaults = 8;
constexpr std::array<milliseconds, 2> kWorkerLeases = {milliseconds(6000),
                                                       milliseconds(7800)};
constexpr double kAimedShare = 0.6;
constexpr double kAimedInSeriesShare = 0.6;
constexpr double kInSeriesShare = 0.15;
constexpr double kKeysTakenShare = 0.5;
/// Shares of the days with tasks that crash their workers, and with workers
/// whose capacity shrinks and grows.
constexpr double kDeadlyShare = 0.35;
constexpr double kShrinkingShare = 0.35;
constexpr std::int64_t kMostDomains = 4;
constexpr std::int64_t kMostDrains = 3;

/// How long an owner stays away so that another instance wins.
constexpr milliseconds kShortestAbsence{2500};
constexpr milliseconds kLongestAbsence{3500};
/// Workers are gone so long after their owner was killed, by when the next one
/// has heard of them.
constexpr milliseconds kSoonestGone{2800};
constexpr milliseconds kLatestGone{6000};
/// Time between two departures, and after the last, for lasting tasks to run
/// again and to be seen to.
constexpr milliseconds kCalmAfterDeparture{15'000};
/// A worker that leaves is there for as long as this after it has said so.
constexpr milliseconds kShortestNotice{1000};
constexpr milliseconds kLongestNotice{6000};

/// What is drawn for the faults of one kind.
struct fault_range {
  milliseconds shortest;
  milliseconds longest;
  double weakest = 1;
  double strongest = 1;
};

/// In the order of fault_kind.
constexpr std::array<fault_range, 20> kRanges = {{
    {milliseconds(300), milliseconds(6000)},             // kill_instances
    {milliseconds(1500), milliseconds(6000)},            // stop_instances
    {milliseconds(800), milliseconds(6000)},             // isolate_instances
    {milliseconds(500), milliseconds(8000)},             // freeze_instances
    {milliseconds(1000), milliseconds(6000), 1, 5},      // clock_ahead
    {milliseconds(1000), milliseconds(6000), 1, 5},      // clock_behind
    {milliseconds(500), milliseconds(9000)},             // crash_workers
    {milliseconds(500), milliseconds(9000)},             // replace_workers
    {milliseconds(500), milliseconds(9000)},             // cut_workers
    {milliseconds(3500), milliseconds(9000)},            // drain_workers
    {milliseconds(1000), milliseconds(5000)},            // failing_workers
    {milliseconds(1000), milliseconds(6000)},            // hanging_workers
    {milliseconds(1000), milliseconds(6000), 2, 8},      // slow_workers
    {milliseconds(1000), milliseconds(6000), 0.1, 0.8},  // late_orders
    {milliseconds(500), milliseconds(6000)},             // store_down
    {milliseconds(500), milliseconds(6000)},             // store_silent
    {milliseconds(1000), milliseconds(6000), 2, 40},     // store_slow
    {milliseconds(1000), milliseconds(5000), 0.1, 0.5},  // store_loses_answers
    {milliseconds(100), milliseconds(100)},              // store_compacts
    {milliseconds(1000), milliseconds(4000), 1.5, 3},    // burst
}};

bool HitsWorkers(fault_kind kind) {
  return kind >= fault_kind::kCrashWorkers && kind <= fault_kind::kLateOrders;
}

/// When the last fault of the day is over.
milliseconds EndOfFaults(const day_description& day) {
  milliseconds end{0};
  for (const day_fault& fault : day.faults) {
    const auto repeats = static_cast<std::int64_t>(fault.times) - 1;
    end = std::max(end, fault.at + fault.every * repeats + fault.lasts);
  }
  return end;
}

}  // namespace

day_description hunted_day::Draw() {
  day_description day;
  day.load = kLoad;
  day.rest = kRest;
  DrawSize(day.system);
  day.system.queues = {DrawUrgent(), DrawFilling(), DrawLasting(day.system)};
  day.faults = DrawFaults(day.system);
  AddLaterKinds(day);
  if (kind_ == hunt_kind::kWithDrains)
    AddDrains(day);
  if (kind_ == hunt_kind::kWithLosses || kind_ == hunt_kind::kWithLeavers)
    AddDepartures(day);
  return day;
}

void hunted_day::AddLaterKinds(day_description& day) {
  std::swap(random_, later_random_);
  if (Chance(kDeadlyShare))
    day.faults.push_back({.kind = fault_kind::kDeadlyTasks,
                          .at = Time(kFirstMoment, kLastMoment),
                          .lasts = Time(milliseconds(2000), milliseconds(9000)),
                          .strength = Real(0.05, 0.4)});
  if (Chance(kShrinkingShare)) {
    const auto most = static_cast<std::int64_t>(day.system.workers / 2);
    day.faults.push_back({.kind = fault_kind::kShrinkWorkers,
                          .at = Time(kFirstMoment, kLastMoment),
                          .lasts = Time(milliseconds(1000), milliseconds(9000)),
                          .times = static_cast<std::size_t>(Between(1, 3)),
                          .every = Time(milliseconds(2000), milliseconds(6000)),
                          .count = static_cast<std::size_t>(Between(1, most)),
                          .strength = Real(0, 0.7)});
    day.system.workers_guard_capacity = Chance(0.5);
  }
}

void hunted_day::AddDrains(day_description& day) {
  day.system.failure_domains =
      static_cast<std::size_t>(Between(2, kMostDomains));
  for (std::int64_t i = Between(1, kMostDrains); i > 0; --i) {
    const bool repeated = Chance(0.3);
    day.faults.push_back(
        {.kind = fault_kind::kDrainDomains,
         .at = Time(kFirstMoment, kLastMoment),
         .lasts = Time(milliseconds(300), milliseconds(14'000)),
         .times = repeated ? std::size_t{3} : std::size_t{1},
         .every = repeated ? Time(milliseconds(500), milliseconds(6000))
                           : milliseconds(0)});
  }
}

void hunted_day::AddDepartures(day_description& day) {
  if (kind_ == hunt_kind::kWithLeavers) {
    AddLeavers(day, CalmMoment(day));
  } else {
    AddLosses(day, CalmMoment(day));
    AddLosses(day, CalmMoment(day) + kCalmAfterDeparture);
  }
  day.rest =
      std::max(day.rest, EndOfFaults(day) + kCalmAfterDeparture - day.load);
}

milliseconds hunted_day::CalmMoment(const day_description& day) {
  return EndOfFaults(day) + Time(milliseconds(0), milliseconds(3000));
}

void hunted_day::AddLosses(day_description& day, milliseconds at) {
  const auto most = static_cast<std::int64_t>(day.system.workers / 4);
  day.faults.push_back({.kind = fault_kind::kKillInstances,
                        .at = at,
                        .lasts = Time(kShortestAbsence, kLongestAbsence),
                        .aim = fault_aim::kOwner});
  day.faults.push_back({.kind = fault_kind::kLoseWorkers,
                        .at = at + Time(kSoonestGone, kLatestGone),
                        .count = static_cast<std::size_t>(Between(1, most))});
}

void hunted_day::AddLeavers(day_description& day, milliseconds at) {
  const auto most = static_cast<std::int64_t>(day.system.workers / 2);
  const std::int64_t leaving = Between(3, most);
  const milliseconds every = Time(milliseconds(500), milliseconds(1500));
  const milliseconds notice = Time(kShortestNotice, kLongestNotice);
  const milliseconds last_gone = at + every * (leaving - 1) + notice;
  // The last owner is killed so long before the last worker is gone.
  const milliseconds killed =
      std::max(at, last_gone - Time(kSoonestGone, kLatestGone));
  const milliseconds before = std::max(at, killed - milliseconds(4000));
  day.faults.push_back({.kind = fault_kind::kRetireWorkers,
                        .at = at,
                        .lasts = notice,
                        .times = static_cast<std::size_t>(leaving),
                        .every = every});
  day.faults.push_back({.kind = fault_kind::kStoreLosesAnswers,
                        .at = at,
                        .lasts = killed + milliseconds(1500) - at,
                        .strength = Real(0.1, 0.5)});
  if (Chance(0.5))
    day.faults.push_back({.kind = fault_kind::kKillInstances,
                          .at = before,
                          .lasts = Time(milliseconds(300), kShortestAbsence),
                          .aim = fault_aim::kOwner});
  day.faults.push_back({.kind = fault_kind::kKillInstances,
                        .at = killed,
                        .lasts = Time(kShortestAbsence, kLongestAbsence),
                        .aim = fault_aim::kOwner});
}

void hunted_day::DrawSize(emulation_settings& system) {
  system.instances = static_cast<std::size_t>(Between(3, 7));
  system.workers = static_cast<std::size_t>(4 * Between(3, 6));
  if (Chance(0.3))
    system.workers_per_shard = static_cast<std::int64_t>(system.workers / 2);
  system.worker_lease = kWorkerLeases.at(
      static_cast<std::size_t>(Between(0, kWorkerLeases.size() - 1)));
}

queue_load hunted_day::DrawUrgent() {
  queue_load load;
  load.name = "urgent";
  load.policy = {"service", 0, 3, 1.5, milliseconds(400)};
  load.per_second = Real(0.5, 2);
  load.steps = 2;
  load.step.task_count = static_cast<std::int32_t>(Between(1, 5));
  load.step.demand = {1000, 2000, 0};
  load.work = Time(milliseconds(300), milliseconds(1500));
  load.step.estimate = load.work;
  return load;
}

queue_load hunted_day::DrawFilling() {
  queue_load load;
  load.name = "filling";
  load.policy = {"service", 2, 3, 2, milliseconds(1000)};
  load.per_second = Real(0.2, 0.7);
  load.steps = 2;
  load.step.task_count = static_cast<std::int32_t>(Between(2, 6));
  load.step.demand = {1800, 3000, 0};
  load.step.best_effort = true;
  load.step.checkpoints = Chance(0.5);
  load.step.image = "batch";
  load.work = Time(milliseconds(1000), milliseconds(4000));
  load.step.estimate = load.work;
  return load;
}

queue_load hunted_day::DrawLasting(const emulation_settings& system) {
  queue_load load;
  load.name = "lasting";
  load.policy = {"service", 0, 3, 2, milliseconds(2500)};
  load.step.task_count = static_cast<std::int32_t>(Between(1, 6));
  load.step.demand = {Between(500, 3000), 3000, 0};
  load.step.long_running = true;
  load.step.max_unavailable = Chance(0.5) ? 1 : 0;
  load.step.latency_target = milliseconds(18);
  load.step.image = "service";
  const double processors =
      static_cast<double>(system.workers) *
      static_cast<double>(system.capacity.processors_milli);
  const double each = static_cast<double>(load.step.task_count) *
                      static_cast<double>(load.step.demand.processors_milli);
  const double load_seconds = std::chrono::duration<double>(kLoad).count();
  load.per_second =
      std::min(2.0, Real(0.2, 0.5) * processors / each / load_seconds);
  return load;
}

std::vector<day_fault> hunted_day::DrawFaults(
    const emulation_settings& system) {
  std::vector<milliseconds> moments;
  for (std::int64_t i = Between(1, kMoments); i > 0; --i)
    moments.push_back(Time(kFirstMoment, kLastMoment));
  std::vector<day_fault> faults;
  for (std::int64_t i = Between(kFewestFaults, kMostFaults); i > 0; --i) {
    const auto moment = static_cast<std::size_t>(
        Between(0, static_cast<std::int64_t>(moments.size()) - 1));
    faults.push_back(DrawFault(moments.at(moment), system));
  }
  return faults;
}

day_fault hunted_day::DrawFault(milliseconds around,
                                const emulation_settings& system) {
  day_fault fault;
  fault.kind = static_cast<fault_kind>(Between(0, kRanges.size() - 1));
  const fault_range& range = kRanges.at(static_cast<std::size_t>(fault.kind));
  fault.at = around + Time(milliseconds(0), kSpread);
  fault.lasts = Time(range.shortest, range.longest);
  fault.strength = Real(range.weakest, range.strongest);
  const std::size_t most =
      HitsWorkers(fault.kind) ? system.workers / 3 : system.instances;
  fault.count =
      static_cast<std::size_t>(Between(1, static_cast<std::int64_t>(most)));
  if (CanHitOwner(fault.kind) && Chance(kAimedShare)) {
    fault.aim = fault_aim::kOwner;
    fault.count = Chance(0.7) ? 1 : fault.count;
  }
  if (fault.kind == fault_kind::kIsolateInstances)
    fault.takes_keys = Chance(kKeysTakenShare);
  DrawSeries(fault);
  return fault;
}

void hunted_day::DrawSeries(day_fault& fault) {
  const bool aimed = fault.aim == fault_aim::kOwner;
  if (!Chance(aimed ? kAimedInSeriesShare : kInSeriesShare))
    return;
  fault.times = static_cast<std::size_t>(Between(2, 4));
  fault.every = Time(milliseconds(1000), milliseconds(4500));
}

std::int64_t hunted_day::Between(std::int64_t least, std::int64_t most) {
  return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
}

double hunted_day::Real(double least, double most) {
  return std::uniform_real_distribution<double>(least, most)(random_);
}

milliseconds hunted_day::Time(milliseconds least, milliseconds most) {
  return milliseconds(Between(least.count(), most.count()));
}

}  // namespace chivecrank::emulator::internal

namespace chivecrank::emulator {

day_description HuntedDay(std::uint64_t seed, hunt_kind kind) {
  return internal::hunted_day(seed, kind).Draw();
}

}  // namespace chivecrank::emulator
