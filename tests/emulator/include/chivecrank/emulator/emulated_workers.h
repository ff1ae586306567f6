#ifndef CHIVECRANK_EMULATOR_EMULATED_WORKERS_H_
#define CHIVECRANK_EMULATOR_EMULATED_WORKERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/emulator/attempt_ledger.h"
#include "chivecrank/emulator/emulated_processor.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/submissions/worker_gateway.h"

namespace chivecrank::emulator {

/// What is wrong with one worker now.
struct worker_faults {
  /// Nothing reaches it and nothing comes back; it runs on.
  bool cut_off = false;
  /// It is dead.
  bool crashed = false;
  /// Everything that it starts fails at once.
  bool fails_all = false;
  /// What it runs makes no progress.
  bool hangs = false;
  /// Work takes so many times as long.
  double slowness = 1;
  /// Share of the orders that are carried out and not answered.
  double lost_share = 0;
  /// Share of the orders that are carried out seconds later, unanswered.
  double late_share = 0;
};

/// How a task really behaves; decided by the day, unknown to the system.
struct task_truth {
  std::chrono::milliseconds work{0};
  /// Fails each time.
  bool poisoned = false;
  /// Crashes each worker that starts it.
  bool deadly = false;
};

/// The task as logs write it: SUBMISSION.OCCURRENCE.STEP.INDEX.
std::string NameOf(const submissions::task_ref& task);

/// What broke a promise, as the workers saw it.
struct broken_promise {
  std::string name;
  std::string task;
  base::time_point at;
};

struct worker_counts {
  std::uint64_t starts = 0;
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
  std::uint64_t stopped = 0;
  std::uint64_t lapsed = 0;
  std::uint64_t lost = 0;
  std::uint64_t looks = 0;
  std::uint64_t no_room = 0;
  std::uint64_t no_permit = 0;
};

/// The workers: they run tasks under leases and fences, keep numbered lists of
/// ends, and record each broken promise. Tasks with a latency target read the
/// tail latency of a queue that other images press on.
class emulated_workers {
 public:
  using truth_hook =
      std::function<task_truth(const submissions::task_ref& task)>;
  /// Whether the order's permit is good.
  using permit_hook =
      std::function<bool(const submissions::start_command& command)>;
  /// Takes a worker down that has started a deadly task.
  using crash_hook = std::function<void(const std::string& worker)>;
  /// Pressure that a filling image adds to a service when it has the whole
  /// worker.
  using pressure_hook = std::function<double(const std::string& service_image,
                                             const std::string& fill_image)>;
  /// How a service's own load swings around its mean: by this share of it, up
  /// and down within each period, out of step from submission to submission.
  struct load_swing {
    double share = 0;
    std::chrono::milliseconds period{14'000};
    /// Standard deviation of what a worker reports of it.
    double noise = 0;
  };

  emulated_workers(reactor::event_loop& loop,
                   std::uint64_t seed,
                   truth_hook truth,
                   permit_hook has_permit,
                   crash_hook crash,
                   pressure_hook pressure,
                   load_swing swing);
  ~emulated_workers();

  void Add(submissions::worker_description description);
  /// The commands as one instance gives them. Answers take time of its
  /// `processor`, which must outlive the workers.
  std::unique_ptr<submissions::worker_gateway> OrdersFor(
      emulated_processor& processor);

  worker_faults& FaultsOf(const std::string& id);
  /// Ends a worker's life; it comes back empty with Restart.
  void Crash(const std::string& id);
  void Restart(const std::string& id, std::int64_t born_ms);
  /// Another worker starts at the address of a crashed one, which never comes
  /// back.
  void Replace(const std::string& id,
               const std::string& successor,
               std::int64_t born_ms);
  bool IsReplaced(const std::string& id) const;
  /// The workers that were not replaced.
  std::vector<std::string> Ids() const;
  const submissions::worker_description& DescriptionOf(
      const std::string& id) const;

  /// The worker is one of another service, as its entry says from then on.
  void SetService(const std::string& id, const std::string& service);
  /// The worker follows an owner with this fence.
  void Follow(const std::string& id, std::int64_t fence);

  bool IsCrashed(const std::string& id) const;
  /// The room of the worker changes; what runs there goes on.
  void SetCapacity(const std::string& id,
                   const coordination::resources& capacity);
  /// Workers start whatever they are told, even if it doesn't fit.
  void SetGuarding(bool guarding) { guards_capacity_ = guarding; }

  /// Nothing may start in a failure domain this long after it was drained.
  static constexpr std::chrono::milliseconds kDrainInForce{5000};
  void SetDrained(const std::string& failure_domain, bool drained);

  /// The worker has said that it leaves, and how much longer it stays at least
  /// unless that is unset: soon nothing may start there.
  void Leaves(const std::string& id,
              std::optional<std::chrono::milliseconds> stays_at_least);

  /// What the workers must know of a submission to run its tasks and judge
  /// the order of its steps.
  void Know(const submissions::submission& accepted);
  /// The caller was told that the submission is over: nothing of it may start.
  void Over(const std::string& submission);
  /// The caller was told that the submission has failed.
  void ShownAsFailed(const std::string& submission);

  const worker_counts& Counts() const { return counts_; }
  const std::vector<broken_promise>& Broken() const { return broken_; }
  std::size_t Running() const;
  std::size_t RunningOf(const std::string& submission) const;
  bool IsRunning(const submissions::task_ref& task) const;
  /// Whether the task ever had a run.
  bool HasBegun(const submissions::task_ref& task) const;
  /// How many runs like one of this task fit on the sound workers that stay,
  /// beside all that they run.
  std::size_t RoomFor(const submissions::task_ref& task) const;
  /// Seconds that services were over their latency bound, in all.
  double OverBoundSeconds() const { return over_bound_seconds_; }

 private:
  friend class emulated_orders;
  struct worker_state;
  struct run_state;

  void Tick();
  void Advance(worker_state& worker, double seconds);
  void EndRun(worker_state& worker,
              const submissions::task_ref& task,
              submissions::run_outcome how);
  submissions::start_outcome Start(worker_state& worker,
                                   const submissions::start_command& command,
                                   const submissions::command_header& terms,
                                   base::time_point given_at,
                                   base::time_point lease_end);
  bool Stop(worker_state& worker, const submissions::stop_command& command);
  /// Whether a new run may go to the worker at all.
  bool TakesRuns(const worker_state& worker) const;
  static coordination::resources ReservedOn(const worker_state& worker);
  static std::size_t RoomOn(const worker_state& worker,
                            const submissions::task_ref& task,
                            const submissions::step_request& step);
  /// Whether the worker starts a run that needs so much; records a broken
  /// promise if it shouldn't have been told to.
  bool TakesStart(const worker_state& worker,
                  const submissions::task_ref& task,
                  const coordination::resources& needed);
  void CrashLater(const std::string& worker, const submissions::task_ref& task);
  base::result<submissions::worker_report> Report(worker_state& worker);
  void CheckStart(const submissions::start_command& command,
                  base::time_point given_at);
  bool IsDrained(const worker_state& worker) const;
  void Break(std::string_view name, const submissions::task_ref& task);
  /// The service's own load, from 0 to 1.
  double LoadOf(const submissions::task_ref& service) const;
  /// The tail latency that the worker reports, in milliseconds.
  std::int64_t ReadTail(const worker_state& worker,
                        const submissions::task_ref& task,
                        const run_state& service);
  double PressureOn(const worker_state& worker,
                    const submissions::task_ref& task,
                    const run_state& service) const;

  reactor::event_loop& loop_;
  std::mt19937_64 random_;
  truth_hook truth_;
  permit_hook has_permit_;
  crash_hook crash_;
  pressure_hook pressure_;
  const load_swing swing_;
  std::map<std::string, std::unique_ptr<worker_state>> workers_;
  std::map<std::string, submissions::submission> known_;
  std::set<submissions::task_ref> begun_;
  std::set<submissions::task_ref> done_;
  std::set<submissions::task_ref> acknowledged_done_;
  std::map<std::string, base::time_point> over_;
  /// Drained failure domains, and since when.
  std::map<std::string, base::time_point> drained_;
  bool guards_capacity_ = true;
  attempt_ledger attempts_;
  worker_counts counts_;
  std::vector<broken_promise> broken_;
  double over_bound_seconds_ = 0;
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_EMULATED_WORKERS_H_
