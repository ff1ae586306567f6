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

/// Workers that keep the fencing rules and watch over each other: no task in
/// two places, none beyond its capacity of two tasks.
class fenced_workers final : public workers::agent {
 public:
  explicit fenced_workers(base::clock& clock) : clock_(clock) {}

  base::result<workers::sync_report> Sync(
      const settings::endpoint& address,
      const workers::sync_command& command) override {
    EndLapsed();
    if (address.port == cut_off_)
      return base::error{base::error_kind::kOutcomeUnknown, "silent", "wait"};
    auto& at = workers_.try_emplace(address.port).first->second;
    const auto verdict =
        at.fence.OnSync(command.order, clock_.Now(), command.term);
    if (verdict == protocol::sync_outcome::kFenced)
      return base::error{base::error_kind::kFenced, "newer epoch", "stop"};
    if (verdict == protocol::sync_outcome::kStale)
      return base::error{base::error_kind::kConflict, "late", "go on"};
    for (const workers::attempt_id& ended : command.acknowledged)
      std::erase_if(at.known,
                    [&](const auto& r) { return r.attempt == ended; });
    for (const workers::stop_command& stop : command.stops)
      End(at, stop.attempt, workers::attempt_state::kStopped);
    if (verdict == protocol::sync_outcome::kRenewed) {
      for (const workers::start_command& start : command.starts)
        Start(at, start.attempt);
    }
    return workers::sync_report{at.fence.incarnation(), true, 1, at.known};
  }

  /// Port of the worker that answers nothing; 0 for none.
  void SetCutOff(int port) { cut_off_ = port; }

  void FinishOne(std::mt19937_64& random) {
    EndLapsed();
    for (auto& [port, at] : workers_) {
      for (workers::attempt_report& report : at.known) {
        if (report.state == workers::attempt_state::kRunning &&
            random() % 2 == 0) {
          Finish(report);
          return;
        }
      }
    }
  }
  void FinishAll() {
    EndLapsed();
    for (auto& [port, at] : workers_) {
      for (workers::attempt_report& report : at.known) {
        if (report.state == workers::attempt_state::kRunning)
          Finish(report);
      }
    }
  }

  const std::string& broken() const { return broken_; }
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

  void Start(worker& at, const workers::attempt_id& attempt) {
    for (const workers::attempt_report& report : at.known) {
      if (report.attempt == attempt)
        return;
    }
    at.known.push_back({attempt, workers::attempt_state::kRunning, {}});
    started_[attempt.task_id] = clock_.Now();
    std::map<std::string, int> running;
    for (auto& [port, other] : workers_) {
      int at_once = 0;
      for (const workers::attempt_report& report : other.known) {
        if (report.state != workers::attempt_state::kRunning)
          continue;
        ++at_once;
        if (++running[report.attempt.task_id] > 1)
          broken_ = report.attempt.task_id + " runs in two places";
      }
      if (at_once > kTasksAtOnce)
        broken_ = "a worker is overcommitted";
    }
  }

  static void End(worker& at,
                  const workers::attempt_id& attempt,
                  workers::attempt_state state) {
    for (workers::attempt_report& report : at.known) {
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

  void EndLapsed() {
    for (auto& [port, at] : workers_) {
      if (!at.fence.IsLeaseExpired(clock_.Now()))
        continue;
      for (workers::attempt_report& report : at.known) {
        if (report.state == workers::attempt_state::kRunning)
          report.state = workers::attempt_state::kStopped;
        // Nobody heard of it within the lease, so it may have to run again.
        if (report.state == workers::attempt_state::kDone &&
            unheard_.insert(report.attempt).second) {
          --done_[report.attempt.task_id];
        }
      }
    }
  }

  static constexpr int kTasksAtOnce = 2;

  base::clock& clock_;
  std::map<int, worker> workers_;
  int cut_off_ = 0;
  std::string broken_;
  std::map<std::string, int> done_;
  std::set<workers::attempt_id> unheard_;
  std::map<std::string, base::time_point> started_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_TESTS_FENCED_WORKERS_H_
