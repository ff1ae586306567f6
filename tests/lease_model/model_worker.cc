#include "model_worker.h"

#include <algorithm>

#include "scheduler_fingerprint.h"

namespace chivecrank::lease_model {

using submissions::start_outcome;

bool model_worker::Receive(const message& received) {
  if (received.fence < fence_)
    return false;
  fence_ = received.fence;
  lease_end_ = std::max(lease_end_, received.lease_end);
  return true;
}

start_outcome model_worker::Start(const message& received,
                                  base::time_point now,
                                  bool renewed_lease_counts) {
  if (!Receive(received))
    return start_outcome::kFenced;
  if (*received.run <= stopped_run_)
    return start_outcome::kSuperseded;
  if ((renewed_lease_counts ? lease_end_ : received.lease_end) <= now)
    return start_outcome::kLeaseExpired;
  run_ = received.run;
  return start_outcome::kStarted;
}

bool model_worker::Stop(std::int64_t fence, std::int32_t run) {
  if (has_crashed_ || fence < fence_)
    return false;
  if (run_ && *run_ <= run)
    run_.reset();
  stopped_run_ = std::max(stopped_run_, run);
  return true;
}

void model_worker::Crash() {
  has_crashed_ = true;
  run_.reset();
}

void model_worker::ExpireLease(base::time_point now) {
  if (lease_end_ <= now)
    run_.reset();
}

submissions::worker_report model_worker::Report(
    const submissions::task_ref& task) const {
  submissions::worker_report report;
  report.started_at_ms = 1;
  if (run_)
    report.running.push_back({task, *run_});
  return report;
}

std::string model_worker::Fingerprint(base::time_point now) const {
  return std::to_string(has_crashed_) + std::to_string(is_listed_) +
         std::to_string(fence_) + ' ' +
         RelativeTime(lease_end_, now, std::chrono::milliseconds(0)) +
         std::to_string(run_.value_or(0)) + ' ' + std::to_string(stopped_run_);
}

}  // namespace chivecrank::lease_model
