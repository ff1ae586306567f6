#ifndef CHIVECRANK_TESTS_STANDIN_WORKER_TASK_AGENT_H_
#define CHIVECRANK_TESTS_STANDIN_WORKER_TASK_AGENT_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/http/json.h"
#include "chivecrank/protocol/worker_fence.h"
#include "chivecrank/workers/types.h"

namespace chivecrank::standin {

/// Runs tasks as timers, under leases, and keeps its own account of what ran
/// when, which tests compare across workers.
class task_agent {
 public:
  /// `incarnation` identifies this process run.
  task_agent(base::clock& clock,
             coordination::resources capacity,
             std::string incarnation);

  /// Safe to call from several threads.
  http::response Answer(const http::request& message);

 private:
  struct running_task {
    workers::start_command command;
    workers::attempt_state state = workers::attempt_state::kRunning;
    base::time_point ends;
    base::time_point started;
    /// Position of the last change, for reports of changes only.
    std::uint64_t changed = 0;
    /// Run time that the newest checkpoint holds.
    std::chrono::milliseconds saved{0};
  };

  /// One run of an attempt, in wall time, for the account.
  struct run_record {
    workers::attempt_id attempt;
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
    workers::attempt_state state = workers::attempt_state::kRunning;
  };

  using answer = base::result<http::json_object>;

  answer Route(const http::request& message, const http::json_object& body);
  answer Sync(const workers::sync_command& command);
  void Start(const workers::start_command& command);
  void Stop(const workers::stop_command& command);
  void Forget(const workers::attempt_id& ended);
  workers::sync_report Report(std::uint64_t known_position) const;
  void NoteUse();
  answer Account() const;
  /// Ends every task and answers nothing more, so that the returned account is
  /// the last word of a worker that a test is about to kill.
  answer Freeze();
  void Elapse();
  void End(const std::string& task_id,
           running_task& task,
           workers::attempt_state state,
           base::time_point at);

  base::clock& clock_;
  const coordination::resources capacity_;
  std::mutex mutex_;
  std::condition_variable thawed_;
  bool frozen_ = false;
  protocol::worker_fence fence_;
  /// 0 would ask for a full report each time.
  std::uint64_t position_ = 1;
  std::map<std::string, running_task> tasks_;
  std::vector<run_record> records_;
  coordination::resources highest_use_;
};

}  // namespace chivecrank::standin

#endif  // CHIVECRANK_TESTS_STANDIN_WORKER_TASK_AGENT_H_
