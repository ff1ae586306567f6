#ifndef CHIVECRANK_SUBMISSIONS_COMMANDS_H_
#define CHIVECRANK_SUBMISSIONS_COMMANDS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// Starts a run on a worker.
struct start_command {
  task_ref task;
  std::int32_t run = 0;
  std::string worker;
  std::string spec;
  std::string checkpoint;
  /// Empty if the queue requires no permits.
  std::string permit;
};

/// Stops a run on a worker, or ensures that it never starts there.
struct stop_command {
  task_ref task;
  std::int32_t run = 0;
  std::string worker;
};

/// Limits a run to a percentage of its full speed.
struct throttle_command {
  task_ref task;
  std::int32_t run = 0;
  std::string worker;
  std::int32_t percent = 100;
};

/// Asks on which of these workers the tasks of a step may start.
struct permit_request {
  /// Identifies the step; the task index is ignored.
  task_ref step;
  std::vector<std::string> workers;
  permit_timing timing;

  /// Expected time until the permit service answers.
  std::chrono::milliseconds ProcessingTime() const {
    return timing.per_request +
           timing.per_worker * static_cast<std::int64_t>(workers.size());
  }
};

/// Allows tasks of the step to start on the worker.
struct start_permit {
  std::string worker;
  std::string permit;
};

/// Commands to workers and permit requests that are due now.
struct command_set {
  std::vector<start_command> starts;
  std::vector<stop_command> stops;
  std::vector<throttle_command> throttles;
  std::vector<permit_request> permit_requests;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_COMMANDS_H_
