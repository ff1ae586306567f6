#ifndef CHIVECRANK_SUBMISSIONS_COMMANDS_H_
#define CHIVECRANK_SUBMISSIONS_COMMANDS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "chivecrank/submissions/types.h"

namespace chivecrank::submissions {

/// Start a run on a worker.
struct start_command {
  task_ref task;
  std::int32_t run = 0;
  std::string worker;
  std::string spec;
  std::string checkpoint;
  /// Empty where the queue asks for none.
  std::string permit;
};

/// Stop a run on a worker, or make sure that it never starts there.
struct stop_command {
  task_ref task;
  std::int32_t run = 0;
  std::string worker;
};

/// Let a run go on at a share of its speed.
struct throttle_command {
  task_ref task;
  std::int32_t run = 0;
  std::string worker;
  std::int32_t percent = 100;
};

/// Ask on which of these workers the tasks of a step may start.
struct permit_request {
  /// The step; its index doesn't count.
  task_ref step;
  std::vector<std::string> workers;
  permit_timing timing;

  /// What the service needs to answer.
  std::chrono::milliseconds ProcessingTime() const {
    return timing.per_request +
           timing.per_worker * static_cast<std::int64_t>(workers.size());
  }
};

/// A task of the step may start on the worker with this.
struct start_permit {
  std::string worker;
  std::string permit;
};

/// Orders to workers, and questions, that are due now.
struct command_set {
  std::vector<start_command> starts;
  std::vector<stop_command> stops;
  std::vector<throttle_command> throttles;
  std::vector<permit_request> permit_requests;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_COMMANDS_H_
