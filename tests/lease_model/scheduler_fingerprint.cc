#include "scheduler_fingerprint.h"

#include <algorithm>

#include "internal/shard_core.h"

namespace chivecrank::lease_model {

using submissions::shard_scheduler;
using submissions::internal::active_run;
using submissions::internal::recorded_worker;
using submissions::internal::shard_core;
using submissions::internal::worker_entry;

namespace {

/// Explicit instantiation may name private members; nothing else of the test
/// reads them.
template <auto Member>
struct core_access {
  friend const shard_core& CoreOf(const shard_scheduler& scheduler) {
    return *(scheduler.*Member);
  }
};
const shard_core& CoreOf(const shard_scheduler& scheduler);
template struct core_access<&shard_scheduler::core_>;

std::string Number(auto value) {
  return std::to_string(static_cast<std::int64_t>(value)) + ' ';
}

std::string OfRun(const active_run& run,
                  const submissions::scheduler_settings& settings,
                  base::time_point now) {
  return Number(run.run) + Number(run.phase) +
         RelativeTime(run.phase_since, now, std::chrono::milliseconds(1)) +
         Number(run.started_by_this_owner) + Number(run.stop_confirmed) +
         RelativeTime(run.stop_sent_at, now, settings.stop_interval);
}

std::string OfRecorded(const recorded_worker& recorded,
                       const shard_core& core,
                       base::time_point now) {
  std::string text = Number(recorded.address.port) + Number(recorded.lease) +
                     Number(recorded.is_due);
  if (recorded.lease == submissions::internal::lease_record::kBounded)
    text += Number(recorded.lease_left.count()) +
            RelativeTime(recorded.bounded_at, now,
                         core.settings.bound_record_interval);
  if (recorded.release_batch)
    text += Number(core.last_batch - *recorded.release_batch);
  return text;
}

std::string OfWorker(const worker_entry& worker,
                     const shard_core& core,
                     base::time_point now) {
  const submissions::scheduler_settings& settings = core.settings;
  std::string text =
      worker.description.id + Number(worker.listed) + Number(worker.reported) +
      Number(worker.reported_started_at_ms) + Number(worker.lacks_capacity) +
      OfRecorded(worker.recorded, core, now);
  text +=
      RelativeTime(worker.reported_at, now, settings.max_report_age) +
      RelativeTime(worker.lease.Expiry(), now, std::chrono::milliseconds(0)) +
      RelativeTime(worker.health.avoid_until, now,
                   std::chrono::milliseconds(0));
  if (worker.silent_since)
    text += 's' + RelativeTime(*worker.silent_since, now,
                               settings.silence_before_record);
  for (const auto& [task, run] : worker.runs)
    text += 'r' + OfRun(run, settings, now);
  return text + ';';
}

}  // namespace

std::string RelativeTime(base::time_point time,
                         base::time_point now,
                         std::chrono::milliseconds memory) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(time - now);
  return Number(std::max(left, -memory - std::chrono::milliseconds(1)).count());
}

std::string FingerprintOf(const shard_scheduler& scheduler,
                          base::time_point now) {
  const shard_core& core = CoreOf(scheduler);
  std::string text = Number(core.tracker.HasChanges());
  for (const auto& [id, worker] : core.tracker.Workers().All())
    text += OfWorker(worker, core, now);
  for (const submissions::task_change& change :
       core.tracker.Submissions().AllProgress())
    text += Number(change.progress.phase) + Number(change.progress.run) +
            change.progress.worker;
  for (const submissions::start_command& start : core.starts_in_commit)
    text += 'c' + Number(start.run) + start.worker;
  for (const submissions::start_command& start : core.committed_starts)
    text += 'd' + Number(start.run) + start.worker;
  return text;
}

}  // namespace chivecrank::lease_model
