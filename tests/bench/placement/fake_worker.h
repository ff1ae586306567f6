#ifndef CHIVECRANK_TESTS_BENCH_PLACEMENT_FAKE_WORKER_H_
#define CHIVECRANK_TESTS_BENCH_PLACEMENT_FAKE_WORKER_H_

#include <map>
#include <string>
#include <vector>

#include "chivecrank/scheduling/size_learner.h"
#include "scenario.h"

namespace chivecrank::bench {

/// An attempt on a fake worker.
struct fake_attempt {
  scheduling::task_request request;
  std::int32_t attempt = 0;
  coordination::resources granted;
  /// True needs; a service has none.
  const batch_truth* truth = nullptr;
  /// Run time done and run time saved, at full speed.
  double done_s = 0;
  double saved_s = 0;
  /// Progress when the attempt began.
  double began_s = 0;
  elapsed started{0};
  elapsed lease_ends{0};
  bool throttled = false;
  bool saving = false;
  elapsed stops{0};
};

/// How an attempt ended on a worker.
struct fake_end {
  std::string task_id;
  std::int32_t attempt = 0;
  scheduling::attempt_outcome outcome = scheduling::attempt_outcome::kDone;
  double saved_s = 0;
  double lost_s = 0;
  scheduling::usage_sample usage;
};

/// Runs attempts as progress counters, within what they were granted.
class fake_worker {
 public:
  fake_worker(scheduling::worker_view view, bool bad);

  void Start(fake_attempt started);
  /// Saves and stops; saving takes `kSaveTime` and no longer than `grace`.
  void Checkpoint(const std::string& task_id, elapsed now, elapsed grace);
  void Throttle(const std::string& task_id, bool throttled);
  void Stop(const std::string& task_id, elapsed now);
  /// The worker loses all that it ran.
  void Die();
  void Renew(elapsed lease_ends);

  /// Runs until `now`; returns what ended and was not reported yet.
  void Advance(elapsed now, elapsed step, const std::string& bad_template);
  std::vector<fake_end> TakeEnded();

  const std::map<std::string, fake_attempt>& running() const {
    return running_;
  }
  const scheduling::worker_view& view() const { return view_; }
  /// Share of the processors that a batch template uses now.
  std::map<std::string, double> Exposures() const;
  /// What the attempts use, as the worker reports it now and then.
  std::vector<scheduling::usage_sample> Usage() const;

  bool reachable = true;

 private:
  void End(const fake_attempt& ended, scheduling::attempt_outcome outcome);

  const scheduling::worker_view view_;
  const bool bad_;
  std::map<std::string, fake_attempt> running_;
  std::vector<fake_end> ended_;
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_PLACEMENT_FAKE_WORKER_H_
