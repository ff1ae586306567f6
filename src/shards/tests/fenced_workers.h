#ifndef CHIVECRANK_SHARDS_TESTS_FENCED_WORKERS_H_
#define CHIVECRANK_SHARDS_TESTS_FENCED_WORKERS_H_

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/protocol/worker_fence.h"
#include "chivecrank/workers/agent.h"

namespace chivecrank::shards {

/// Workers that follow the fencing rules. They also check that no task runs in
/// two places and that no worker runs more than two tasks.
class fenced_workers final : public workers::agent {
 public:
  explicit fenced_workers(base::clock& clock) : clock_(clock) {}

  base::result<workers::sync_report> Sync(
      const settings::endpoint& address,
      const workers::sync_command& command) override {
    StopExpired();
    if (address.port == unreachable_port_)
      return base::error{base::error_kind::kOutcomeUnknown, "silent", "wait"};
    auto& worker_state = workers_.try_emplace(address.port).first->second;
    const auto outcome =
        worker_state.fence.OnSync(command.order, clock_.Now(), command.term);
    if (outcome == protocol::sync_outcome::kFenced)
      return base::error{base::error_kind::kFenced, "newer epoch", "stop"};
    if (outcome == protocol::sync_outcome::kStale)
      return base::error{base::error_kind::kConflict, "late", "go on"};
    for (const workers::attempt_id& ended : command.acknowledged)
      std::erase_if(worker_state.known,
                    [&](const auto& r) { return r.attempt == ended; });
    for (const workers::stop_command& stop : command.stops)
      End(worker_state, stop.attempt, workers::attempt_state::kStopped);
    if (outcome == protocol::sync_outcome::kRenewed) {
      for (const workers::start_command& start : command.starts)
        Start(worker_state, start.attempt);
    }
    return workers::sync_report{worker_state.fence.incarnation(), true, 1,
                                worker_state.known};
  }

  /// Sets the port of the worker that does not answer; 0 for none.
  void SetUnreachablePort(int port) { unreachable_port_ = port; }

  void FinishOne(std::mt19937_64& random) {
    StopExpired();
    for (auto& [port, worker_state] : workers_) {
      for (workers::attempt_report& report : worker_state.known) {
        if (report.state == workers::attempt_state::kRunning &&
            random() % 2 == 0) {
          Finish(report);
          return;
        }
      }
    }
  }
  void FinishAll() {
    StopExpired();
    for (auto& [port, worker_state] : workers_) {
      for (workers::attempt_report& report : worker_state.known) {
        if (report.state == workers::attempt_state::kRunning)
          Finish(report);
      }
    }
  }

  const std::string& violation() const { return violation_; }
  const std::map<std::string, int>& done() const { return done_; }
  bool StartedAfter(const std::string& task, base::time_point when) const {
    const auto found = started_.find(task);
    return found != started_.end() && found->second > when;
  }

 private:
  struct worker {
    protocol::worker_fence fence{"boot"};
    std::vector<workers::attempt_report> known;
  };

  void Start(worker& worker_state, const workers::attempt_id& attempt) {
    for (const workers::attempt_report& report : worker_state.known) {
      if (report.attempt == attempt)
        return;
    }
    worker_state.known.push_back(
        {attempt, workers::attempt_state::kRunning, {}});
    started_[attempt.task_id] = clock_.Now();
    std::map<std::string, int> running;
    for (auto& [port, other] : workers_) {
      int running_here = 0;
      for (const workers::attempt_report& report : other.known) {
        if (report.state != workers::attempt_state::kRunning)
          continue;
        ++running_here;
        if (++running[report.attempt.task_id] > 1)
          violation_ = report.attempt.task_id + " runs in two places";
      }
      if (running_here > kMaxTasksPerWorker)
        violation_ = "a worker is overcommitted";
    }
  }

  static void End(worker& worker_state,
                  const workers::attempt_id& attempt,
                  workers::attempt_state state) {
    for (workers::attempt_report& report : worker_state.known) {
      if (report.attempt == attempt &&
          report.state == workers::attempt_state::kRunning) {
        report.state = state;
      }
    }
  }

  void Finish(workers::attempt_report& report) {
    report.state = workers::attempt_state::kDone;
    ++done_[report.attempt.task_id];
  }

  void StopExpired() {
    for (auto& [port, worker_state] : workers_) {
      if (!worker_state.fence.IsLeaseExpired(clock_.Now()))
        continue;
      for (workers::attempt_report& report : worker_state.known) {
        if (report.state == workers::attempt_state::kRunning)
          report.state = workers::attempt_state::kStopped;
        // The result was not reported within the lease, so the task may have to
        // run again.
        if (report.state == workers::attempt_state::kDone &&
            unreported_.insert(report.attempt).second) {
          --done_[report.attempt.task_id];
        }
      }
    }
  }

  static constexpr int kMaxTasksPerWorker = 2;

  base::clock& clock_;
  std::map<int, worker> workers_;
  int unreachable_port_ = 0;
  std::string violation_;
  std::map<std::string, int> done_;
  std::set<workers::attempt_id> unreported_;
  std::map<std::string, base::time_point> started_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_TESTS_FENCED_WORKERS_H_
