#ifndef CHIVECRANK_EMULATOR_INTERNAL_EMULATED_WORKER_STATE_H_
#define CHIVECRANK_EMULATOR_INTERNAL_EMULATED_WORKER_STATE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/emulator/emulated_workers.h"

namespace chivecrank::emulator {

struct emulated_workers::run_state {
  std::int32_t run = 0;
  std::int64_t processors_milli = 0;
  coordination::resources reserved;
  bool lasting = false;
  bool fills = false;
  std::string image;
  std::chrono::milliseconds target{0};
  std::chrono::milliseconds work{0};
  bool poisoned = false;
  double progress = 0;
  std::int32_t percent_limit = 100;
  base::time_point started;
  base::time_point stop_at;
  bool stopping = false;
  std::int64_t used_milli = 0;
};

struct emulated_workers::worker_state {
  submissions::worker_description description;
  worker_faults faults;
  /// What the worker had before its capacity changed last, and when it did.
  coordination::resources earlier_capacity;
  base::time_point resized_at;
  /// Another worker has its address.
  bool replaced = false;
  /// Since when it says that it leaves; unset while it doesn't.
  std::optional<base::time_point> leaves_since;
  std::int64_t fence = 0;
  base::time_point lease_end;
  std::map<submissions::task_ref, run_state> runs;
  /// Runs that were stopped or ended, or must never start.
  std::map<submissions::task_ref, std::int32_t> barred;
  std::vector<submissions::reported_end> ended;
  std::int64_t last_end = 0;
  std::vector<std::function<void()>> held_looks;
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_INTERNAL_EMULATED_WORKER_STATE_H_
