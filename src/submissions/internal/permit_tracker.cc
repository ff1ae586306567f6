#include "internal/permit_tracker.h"

namespace chivecrank::submissions::internal {
namespace {

/// A permit is not used this shortly before it expires, because the start
/// command still has to arrive.
constexpr std::chrono::milliseconds kDeliveryMargin{300};
/// Delay before an unanswered request is repeated.
constexpr std::chrono::milliseconds kRetryDelay{400};
/// An answer that is late by more than this is treated as lost.
constexpr std::chrono::milliseconds kMaxResponseDelay{4000};

}  // namespace

const std::string* permit_tracker::Find(const task_ref& task,
                                        const worker_entry& worker,
                                        base::time_point now) const {
  const permit_entry* known = FindKnown(task, worker.description.id);
  const bool is_usable =
      known != nullptr && known->state == permit_state::kGranted &&
      known->started_at_ms == worker.reported_started_at_ms &&
      now < known->valid_until;
  return is_usable ? &known->permit : nullptr;
}

bool permit_tracker::CanRequest(const task_ref& task,
                                const worker_entry& worker,
                                base::time_point now) const {
  const permit_entry* known = FindKnown(task, worker.description.id);
  if (known == nullptr)
    return true;
  return known->state == permit_state::kGranted &&
         Find(task, worker, now) == nullptr;
}

void permit_tracker::OnRequested(const permit_request& request,
                                 const worker_table& workers,
                                 base::time_point now) {
  step_permits& step = steps_[FirstOfStep(request.step)];
  step.next_request_at = now + request.ProcessingTime() + kMaxResponseDelay;
  for (const std::string& id : request.workers) {
    permit_entry& entry = step.workers[id];
    entry.state = permit_state::kRequested;
    if (const worker_entry* worker = workers.Find(id))
      entry.started_at_ms = worker->reported_started_at_ms;
    // Validity counts from the time of the request, so the response time is
    // included.
    entry.valid_until = now + request.timing.validity - kDeliveryMargin;
  }
}

bool permit_tracker::IsRequestPending(const task_ref& task,
                                      base::time_point now) const {
  const auto found = steps_.find(FirstOfStep(task));
  return found != steps_.end() && now < found->second.next_request_at;
}

void permit_tracker::OnGranted(const permit_request& request,
                               const std::vector<start_permit>& granted) {
  const auto found = steps_.find(FirstOfStep(request.step));
  if (found == steps_.end())
    return;
  found->second.next_request_at = {};
  for (const std::string& id : request.workers)
    found->second.workers[id].state = permit_state::kRejected;
  for (const start_permit& permit : granted) {
    permit_entry& known = found->second.workers[permit.worker];
    known.state = permit_state::kGranted;
    known.permit = permit.permit;
  }
}

void permit_tracker::OnRequestFailed(const permit_request& request,
                                     base::time_point now) {
  const auto found = steps_.find(FirstOfStep(request.step));
  if (found == steps_.end())
    return;
  found->second.next_request_at = now + kRetryDelay;
  for (const std::string& id : request.workers)
    found->second.workers.erase(id);
}

void permit_tracker::Forget(const task_ref& task, const std::string& worker) {
  const auto found = steps_.find(FirstOfStep(task));
  if (found != steps_.end())
    found->second.workers.erase(worker);
}

void permit_tracker::Erase(const std::string& submission) {
  absl::erase_if(steps_, [&](const auto& entry) {
    return entry.first.submission == submission;
  });
}

const permit_tracker::permit_entry* permit_tracker::FindKnown(
    const task_ref& task,
    const std::string& worker) const {
  const auto step = steps_.find(FirstOfStep(task));
  if (step == steps_.end())
    return nullptr;
  const auto known = step->second.workers.find(worker);
  return known == step->second.workers.end() ? nullptr : &known->second;
}

}  // namespace chivecrank::submissions::internal
