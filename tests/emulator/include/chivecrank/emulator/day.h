#ifndef CHIVECRANK_EMULATOR_DAY_H_
#define CHIVECRANK_EMULATOR_DAY_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/emulator/emulation.h"
#include "chivecrank/emulator/lasting_task_monitor.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::emulator {

/// What a day can cause.
enum class fault_kind {
  kKillInstances,
  kStopInstances,
  kIsolateInstances,
  kFreezeInstances,
  kClockAhead,
  kClockBehind,
  kCrashWorkers,
  kReplaceWorkers,
  kCutWorkers,
  kDrainWorkers,
  kFailingWorkers,
  kHangingWorkers,
  kSlowWorkers,
  kLateOrders,
  kStoreDown,
  kStoreSilent,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreCompacts,
  kBurst,
  kShrinkWorkers,
  kDeadlyTasks,
  /// Operators drain failure domains.
  kDrainDomains,
  /// Workers crash and nothing ever answers at their addresses again; fresh
  /// ones start at other addresses.
  kLoseWorkers,
  /// Workers say that they leave, are gone for good when the fault is over, and
  /// leave fresh ones at other addresses.
  kRetireWorkers,
};

/// Which instances a fault hits.
enum class fault_aim {
  kAny,
  /// The owner of shard 0 at that moment, then others.
  kOwner,
};

/// One fault: it begins at `at`, counted from the begin of the load, and is
/// over `lasts` later. A series repeats it.
struct day_fault {
  fault_kind kind = fault_kind::kKillInstances;
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds lasts{0};
  /// How often it begins, and the time from one begin to the next.
  std::size_t times = 1;
  std::chrono::milliseconds every{0};
  /// Instances, workers or failure domains that it hits, drawn by the seed.
  std::size_t count = 1;
  fault_aim aim = fault_aim::kAny;
  /// Instances that are isolated lose their keys in the store at once.
  bool takes_keys = false;
  /// How strong it is: the factor of slowness or of a burst, the share of
  /// answers lost, of capacity that stays or of deadly submissions, or the
  /// seconds by which clocks are off.
  double strength = 1;
};

/// The fault's name in a day's file.
std::string_view NameOf(fault_kind kind);
/// Whether the fault can be aimed at the owner of a shard.
bool CanHitOwner(fault_kind kind);

/// A day for the emulator.
struct day_description {
  emulation_settings system;
  /// How long callers hand submissions in, and how long all have to end then.
  std::chrono::milliseconds load{20'000};
  std::chrono::milliseconds rest{30'000};
  std::vector<day_fault> faults;
};

/// A day's file as it was read, with all that is wrong with it.
struct day_file {
  day_description day;
  std::vector<settings::problem> problems;
};

day_file ReadDay(const std::string& path);

/// What became of a day.
struct day_report {
  std::map<std::string, caller_counts> queues;
  worker_counts workers;
  /// Submissions that were accepted and did not end, which breaks a promise.
  std::vector<std::string> open;
  std::vector<broken_promise> broken;
  /// Lasting tasks that stayed without a run, which breaks a promise.
  std::vector<idle_lasting_task> idle_lasting;
  /// Submissions that were rejected or in doubt, failed, or ended late.
  std::vector<std::string> missed;
  std::uint64_t store_calls = 0;
  std::uint64_t store_writes = 0;
  double services_over_bound_seconds = 0;
  /// Least share of a window's submissions that ended in time, by queue.
  std::map<std::string, double> worst_window;

  bool KeepsPromises() const {
    return open.empty() && broken.empty() && idle_lasting.empty();
  }
};

/// Plays a day with the real decision code under the manual clock.
day_report PlayDay(const day_description& day, std::uint64_t seed);

std::string ReportAsJson(const day_report& report);
std::string ReportAsText(const day_report& report);

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_DAY_H_
