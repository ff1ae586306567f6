#ifndef CHIVECRANK_EMULATOR_EMULATION_H_
#define CHIVECRANK_EMULATOR_EMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chivecrank/base/holdover_clock.h"
#include "chivecrank/base/manual_clock.h"
#include "chivecrank/emulator/emulated_clock.h"
#include "chivecrank/emulator/emulated_permits.h"
#include "chivecrank/emulator/emulated_processor.h"
#include "chivecrank/emulator/emulated_store.h"
#include "chivecrank/emulator/emulated_workers.h"
#include "chivecrank/event_log/event_log.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/instance_runtime.h"

namespace chivecrank::emulator {

/// The shape of the submissions of one queue.
struct queue_load {
  std::string name;
  submissions::queue_policy policy;
  double per_second = 1;
  submissions::step_request step;
  std::int32_t steps = 1;
  /// What a task really takes.
  std::chrono::milliseconds work{500};
  /// Standard deviations of the logarithms of a step's run time, and of its
  /// estimate over it.
  double work_spread = 0;
  double estimate_error = 0;
  /// Share of the submissions that can never be done.
  double poisoned_share = 0;
  /// Occurrences of a submission; 0 for one that runs at once. The first is due
  /// `first_due_after` its submission.
  std::int32_t occurrences = 0;
  std::chrono::milliseconds first_due_after{0};
  std::chrono::milliseconds interval{0};
  /// Images that its tasks are drawn from.
  std::vector<std::string> images;
};

struct emulation_settings {
  std::uint64_t seed = 1;
  std::size_t instances = 3;
  /// Processor time of the instances, in millicores; the last value is also
  /// that of all further instances.
  std::vector<std::int64_t> instance_processors_milli = {100};
  processor_costs costs;
  /// Instances start one by one within this time, drawn by the seed.
  std::chrono::milliseconds start_spread{0};
  std::size_t workers = 12;
  std::size_t workers_per_rack = 4;
  /// Workers are in so many failure domains by turns. With more than one,
  /// instances know how fast a drain of a domain has to be in force.
  std::size_t failure_domains = 1;
  coordination::resources capacity{16'000, 64'000, 0};
  /// Workers reject what does not fit.
  bool workers_guard_capacity = true;
  std::int64_t workers_per_shard = 100;
  std::chrono::milliseconds worker_lease{6000};
  /// Values that the store takes, and entries that journals are split into.
  std::size_t value_bytes = std::size_t{1} << 20;
  std::size_t max_entry_bytes = 400 * 1024;
  std::vector<queue_load> queues;
  /// Gets the instances' log lines.
  std::function<void(std::string_view)> on_log_line = [](std::string_view) {};
  emulated_workers::pressure_hook pressure =
      [](const std::string&, const std::string&) { return 0.0; };
  emulated_workers::load_swing service_swing;
};

/// What callers got, by queue.
struct caller_counts {
  std::uint64_t offered = 0;
  std::uint64_t accepted = 0;
  std::uint64_t rejected = 0;
  std::uint64_t unknown = 0;
  std::uint64_t completed = 0;
  std::uint64_t in_objective = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
};

/// Several instances with their store, workers and callers, in one process
/// under a manual clock: the real decision code with no network.
class emulation {
 public:
  explicit emulation(emulation_settings settings);
  ~emulation();

  /// Lets the time pass; callers hand submissions in while `with_load`.
  void Run(std::chrono::milliseconds time, bool with_load);

  /// Hands one submission in now, at a random ready instance.
  std::string Submit(const queue_load& load);
  void Cancel(const std::string& id);

  /// Ends an instance as SIGKILL does, and starts it again later.
  void KillInstance(std::size_t index);
  void StartInstance(std::size_t index);
  /// Stops an instance in order.
  void StopInstance(std::size_t index);
  bool IsAlive(std::size_t index) const;
  /// The instance that owns a shard; the number of instances when none does.
  std::size_t OwnerOf(std::uint32_t shard) const;
  /// The store turns an instance away, or serves it again.
  void Isolate(std::size_t index, bool isolated);
  /// Stops an instance where it is, or lets it go on.
  void Freeze(std::size_t index, bool frozen);
  /// The time of day of an instance is off by `jump` from now on.
  void JumpClock(std::size_t index, std::chrono::milliseconds jump);

  emulated_store& Store() { return store_; }
  emulated_workers& Workers() { return workers_; }
  emulated_permits& Permits() { return permits_; }
  const std::string& NodeOf(std::size_t index) const {
    return instances_.at(index).node;
  }
  runtime::instance_runtime& InstanceAt(std::size_t index) {
    return *instances_.at(index).runtime;
  }
  /// Removes a worker's entry, or writes it again.
  void Unlist(const std::string& worker);
  /// Starts and lists another worker at the address of a crashed one, and
  /// returns its identifier.
  std::string Replace(const std::string& worker);
  /// Starts and lists a fresh worker at an address of its own.
  void AddWorker();
  /// Starts and lists a crashed worker anew; it holds nothing.
  void Restart(const std::string& worker);
  /// The worker that replaced `worker` last, or itself.
  std::string NewestAt(std::string worker) const;
  /// The worker's entry says that it is about to leave, and how much longer it
  /// stays at least unless that is unset.
  void Drain(const std::string& worker,
             std::optional<std::chrono::milliseconds> stays_at_least = {});
  /// An operator drains a failure domain, or takes that back.
  void DrainDomain(std::size_t domain, bool begins);
  /// Callers hand in so many times their usual load from now on.
  void SetLoadFactor(double factor) { load_factor_ = factor; }
  void List(const std::string& worker);
  /// A worker has this share of its first capacity from now on.
  void Resize(const std::string& worker, double share);
  /// From now on this share of the submissions has a task that crashes each
  /// worker that starts it.
  void SetDeadlyShare(double share) { deadly_share_ = share; }
  /// When the last worker that a deadly task crashed is back.
  base::time_point BackAfterCrashesAt() const { return back_at_; }

  const std::map<std::string, caller_counts>& Callers() const {
    return callers_;
  }
  caller_counts Total() const;
  /// Accepted submissions whose end no caller has seen.
  std::vector<std::string> Open() const;
  /// Tasks of accepted services that run on no worker now.
  std::vector<submissions::task_ref> IdleLastingTasks() const;
  /// By queue, the least share of the submissions offered within one of the
  /// windows that ended in time. Queues of services are left out.
  std::map<std::string, double> WorstWindows(
      std::chrono::milliseconds window) const;
  /// Submissions that were rejected or in doubt, failed, or ended late.
  std::vector<std::string> Missed() const;
  /// What `id` was last shown as.
  runtime::submission_state StateOf(const std::string& id) const;
  base::time_point Now() const { return clock_.Now(); }

 private:
  struct instance_state {
    std::string node;
    std::unique_ptr<emulated_processor> processor;
    std::unique_ptr<emulated_clock> system_clock;
    std::unique_ptr<base::holdover_clock> clock;
    std::unique_ptr<event_log::event_log> log;
    std::unique_ptr<metadata::store> store;
    std::unique_ptr<submissions::worker_gateway> orders;
    std::unique_ptr<submissions::permit_service> permits;
    std::unique_ptr<runtime::instance_runtime> runtime;
  };
  struct caller_state {
    const queue_load* load = nullptr;
    /// What a task of each step really takes.
    std::vector<std::chrono::milliseconds> work;
    submissions::submission offered;
    base::time_point since;
    bool accepted = false;
    bool over = false;
    bool in_objective = false;
    /// Given up without an acceptance.
    bool given_up = false;
    runtime::submission_state shown = runtime::submission_state::kQueued;
    std::int32_t attempts = 0;
  };

  void AddWorkerAt(std::size_t place, std::int64_t started_at_ms);
  std::int64_t ProcessorsOf(std::size_t index) const;
  void StartLater(std::size_t index);
  instance_state* ReadyInstance();
  /// Calls `use` with a random ready instance once it has processor time for
  /// it; returns false if none is ready.
  bool AskInstance(std::function<void(runtime::instance_runtime&)> use);
  /// Earliest time, up to `latest`, at which something happens.
  base::time_point NextWake(base::time_point latest) const;
  void WriteConfiguration();
  void Offer(const std::string& id);
  void OnAnswer(const std::string& id, runtime::submit_answer answer);
  void Poll(const std::string& id);
  void OnState(const std::string& id, runtime::submission_state state);
  void OfferLoad(std::size_t queue);
  submissions::submission Make(const queue_load& load);
  /// Draws what the steps really take and rewrites their estimates.
  std::vector<std::chrono::milliseconds> DrawWork(
      const queue_load& load,
      submissions::submission& offered);
  /// Time in which the submission should be done.
  static std::chrono::duration<double> Objective(const caller_state& caller);
  /// Draws whether a task of the submission is deadly, and which.
  void DrawDeadlyTask(const submissions::submission& offered);
  /// A deadly task takes its worker down, which is back after a while.
  void CrashByTask(const std::string& worker);
  task_truth TruthOf(const submissions::task_ref& task) const;

  emulation_settings settings_;
  base::manual_clock clock_;
  reactor::event_loop loop_;
  std::mt19937_64 random_;
  emulated_store store_;
  emulated_permits permits_;
  emulated_workers workers_;
  std::vector<instance_state> instances_;
  /// Connections and processors of instances that were started anew.
  std::vector<instance_state> retired_;
  std::map<std::string, caller_state> submitted_;
  std::map<std::string, caller_counts> callers_;
  std::map<std::string, bool> poisoned_;
  /// By submission, the task that crashes each worker that starts it.
  std::map<std::string, submissions::task_ref> deadly_;
  double deadly_share_ = 0;
  std::uint64_t crashes_by_tasks_ = 0;
  base::time_point back_at_;
  std::uint64_t last_id_ = 0;
  /// Workers that were added, each at an address of its own.
  std::size_t added_workers_ = 0;
  /// Start of the worker that was replaced, restarted or added last.
  std::int64_t last_started_at_ms_ = 1;
  bool loading_ = false;
  double load_factor_ = 1;
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_EMULATION_H_
