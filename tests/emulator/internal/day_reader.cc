#include "chivecrank/emulator/day.h"
#include "chivecrank/emulator/pair_pressure.h"
#include "chivecrank/settings/document.h"
#include "internal/fault_names.h"

namespace chivecrank::emulator {
namespace {

constexpr settings::integer_range kCounts = {1, 10'000};
constexpr settings::integer_range kNoneOrMore = {0, 10'000};
constexpr settings::integer_range kRepeats = {1, 100};
constexpr settings::integer_range kTimesMs = {0, 3'600'000};
constexpr settings::integer_range kLeasesMs = {1000, 60'000};
constexpr settings::integer_range kAmounts = {0, 1'000'000'000};
constexpr settings::number_range kRates = {0, 10'000};
constexpr settings::number_range kShares = {0, 1};
constexpr settings::number_range kStrengths = {0, 1000};
constexpr std::string_view kOwner = "owner";

std::size_t CountOr(settings::section& from,
                    std::string_view key,
                    std::size_t fallback) {
  return static_cast<std::size_t>(
      from.IntegerOr(key, kCounts, static_cast<std::int64_t>(fallback)));
}

submissions::step_request ReadStep(settings::section& from) {
  submissions::step_request step;
  step.task_count =
      static_cast<std::int32_t>(from.IntegerOr("tasks", kCounts, 1));
  step.demand.processors_milli = from.Integer("processors_milli", kAmounts);
  step.demand.memory_mib = from.Integer("memory_mib", kAmounts);
  step.best_effort = from.BooleanOr("fills", false);
  step.long_running = from.BooleanOr("lasting", false);
  step.checkpoints = from.BooleanOr("checkpoints", false);
  step.gang = from.BooleanOr("gang", false);
  step.same_rack = from.BooleanOr("same_rack", false);
  step.max_per_worker = static_cast<std::int32_t>(
      from.IntegerOr("most_per_worker", kNoneOrMore, 0));
  step.max_unavailable =
      static_cast<std::int32_t>(from.IntegerOr("most_away", kNoneOrMore, 0));
  step.latency_target =
      from.MillisecondsOr("latency_target_ms", kTimesMs, step.latency_target);
  step.image = from.StringOr("image", "");
  return step;
}

/// `count` images that are told apart by a number.
std::vector<std::string> NumberedImages(const std::string& name,
                                        std::int64_t count) {
  std::vector<std::string> images;
  for (std::int64_t i = 1; i <= count; ++i)
    images.push_back(name + "-" + std::to_string(i));
  return images;
}

void ReadSharing(settings::section from, emulation_settings& system) {
  pair_pressure pressure;
  pressure.hard_share =
      from.NumberOr("hard_share", kShares, pressure.hard_share);
  pressure.hard_least =
      from.NumberOr("hard_least", kStrengths, pressure.hard_least);
  pressure.hard_most =
      from.NumberOr("hard_most", kStrengths, pressure.hard_most);
  pressure.gentle_most =
      from.NumberOr("gentle_most", kStrengths, pressure.gentle_most);
  system.pressure = pressure;
  auto& swing = system.service_swing;
  swing.share = from.NumberOr("load_swing", kShares, swing.share);
  swing.noise = from.NumberOr("noise", kShares, swing.noise);
  swing.period = from.MillisecondsOr("swing_ms", kTimesMs, swing.period);
  if (swing.period.count() == 0)
    from.Reject("swing_ms", "a load can't swing within no time",
                "leave it out or give a time above 0");
}

queue_load ReadQueue(settings::section& from) {
  queue_load load;
  load.name = from.String("name");
  load.per_second = from.Number("per_second", kRates);
  load.steps = static_cast<std::int32_t>(from.IntegerOr("steps", kCounts, 1));
  load.work = from.MillisecondsOr("work_ms", kTimesMs, load.work);
  load.poisoned_share =
      from.NumberOr("poisoned_share", kShares, load.poisoned_share);
  load.policy.service = "service";
  load.policy.priority =
      static_cast<std::int32_t>(from.IntegerOr("priority", kNoneOrMore, 0));
  load.policy.attempt_limit =
      static_cast<std::int32_t>(from.IntegerOr("attempts", kCounts, 3));
  load.policy.stretch = from.Number("stretch", kStrengths);
  load.policy.target_run_time = from.MillisecondsOr(
      "target_run_time_ms", kTimesMs, load.policy.target_run_time);
  load.occurrences = static_cast<std::int32_t>(
      from.IntegerOr("occurrences", kNoneOrMore, load.occurrences));
  load.first_due_after =
      from.MillisecondsOr("first_due_after_ms", kTimesMs, load.first_due_after);
  load.interval = from.MillisecondsOr("interval_ms", kTimesMs, load.interval);
  load.step = ReadStep(from);
  load.step.estimate = load.work;
  load.work_spread = from.NumberOr("work_spread", kStrengths, load.work_spread);
  load.estimate_error =
      from.NumberOr("estimate_error", kStrengths, load.estimate_error);
  load.images = NumberedImages(load.step.image,
                               from.IntegerOr("image_count", kNoneOrMore, 0));
  return load;
}

/// How often the fault is repeated.
void ReadSeries(settings::section& from, day_fault& fault) {
  fault.times = static_cast<std::size_t>(from.IntegerOr("times", kRepeats, 1));
  fault.every = from.MillisecondsOr("every_ms", kTimesMs, fault.every);
  if (fault.times > 1 && fault.every.count() == 0)
    from.Reject("times", "a fault can't begin again within no time",
                "give every_ms, the time from one begin to the next");
  if (fault.times == 1 && fault.every.count() > 0)
    from.Reject("every_ms", "the fault begins only once",
                "give times, or leave every_ms out");
}

/// Which instances the fault hits and how.
void ReadAim(settings::section& from, day_fault& fault) {
  const std::string first = from.StringOr("first", "");
  if (first == kOwner)
    fault.aim = fault_aim::kOwner;
  else if (!first.empty())
    from.Reject("first", "no instance is called \"" + first + "\"",
                "use \"owner\", or leave it out");
  if (fault.aim == fault_aim::kOwner && !CanHitOwner(fault.kind))
    from.Reject("first", "this fault can't be aimed at the owner",
                "leave it out, or use it with kill_instances, stop_instances, "
                "isolate_instances or freeze_instances");
  fault.takes_keys = from.BooleanOr("takes_keys", fault.takes_keys);
  if (fault.takes_keys && fault.kind != fault_kind::kIsolateInstances)
    from.Reject("takes_keys", "only isolated instances lose their keys",
                "leave it out, or use it with isolate_instances");
}

day_fault ReadFault(settings::section& from) {
  day_fault fault;
  const std::string name = from.String("kind");
  const auto kind = internal::FaultKindOf(name);
  if (kind)
    fault.kind = *kind;
  else
    from.Reject("kind", "no fault is called \"" + name + "\"",
                "use one of those that docs/operations/emulator.md lists");
  fault.at = from.MillisecondsOr("at_ms", kTimesMs, fault.at);
  fault.lasts = from.MillisecondsOr("lasts_ms", kTimesMs, fault.lasts);
  fault.count = CountOr(from, "count", fault.count);
  fault.strength = from.NumberOr("strength", kStrengths, fault.strength);
  ReadSeries(from, fault);
  ReadAim(from, fault);
  return fault;
}

}  // namespace

day_file ReadDay(const std::string& path) {
  settings::document file = settings::document::FromFile(path);
  settings::section root = file.Root();
  day_file read;
  day_description& day = read.day;
  emulation_settings& system = day.system;
  system.instances = CountOr(root, "instances", system.instances);
  system.workers = CountOr(root, "workers", system.workers);
  system.workers_per_rack =
      CountOr(root, "workers_per_rack", system.workers_per_rack);
  system.failure_domains =
      CountOr(root, "failure_domains", system.failure_domains);
  system.workers_per_shard =
      root.IntegerOr("workers_per_shard", kCounts, system.workers_per_shard);
  system.capacity.processors_milli = root.IntegerOr(
      "processors_milli", kAmounts, system.capacity.processors_milli);
  system.capacity.memory_mib =
      root.IntegerOr("memory_mib", kAmounts, system.capacity.memory_mib);
  system.worker_lease =
      root.MillisecondsOr("worker_lease_ms", kLeasesMs, system.worker_lease);
  system.workers_guard_capacity =
      root.BooleanOr("workers_guard_capacity", system.workers_guard_capacity);
  day.load = root.MillisecondsOr("load_ms", kTimesMs, day.load);
  day.rest = root.MillisecondsOr("rest_ms", kTimesMs, day.rest);
  for (settings::section& queue : root.Tables("queue"))
    system.queues.push_back(ReadQueue(queue));
  for (settings::section& fault : root.Tables("fault"))
    day.faults.push_back(ReadFault(fault));
  if (root.Has("sharing"))
    ReadSharing(root.Table("sharing"), system);
  if (system.queues.empty())
    root.Reject("queue", "nobody hands anything in",
                "describe at least one [[queue]]");
  read.problems = file.Finish();
  return read;
}

}  // namespace chivecrank::emulator
