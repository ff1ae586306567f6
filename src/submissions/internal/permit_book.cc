#include "internal/permit_book.h"

namespace chivecrank::submissions::internal {
namespace {

/// A permit is not used in the last of its time: the order has to arrive.
constexpr std::chrono::milliseconds kArrival{300};
/// Pause after a question that was not answered.
constexpr std::chrono::milliseconds kAskAgain{400};
/// An answer that takes longer than the service needs by this doesn't come.
constexpr std::chrono::milliseconds kLongestWait{4000};

}  // namespace

const std::string* permit_book::Find(const task_ref& task,
                                     const worker_entry& worker,
                                     base::time_point now) const {
  const known_permit* known = FindKnown(task, worker.description.id);
  const bool holds = known != nullptr && known->state == standing::kGranted &&
                     known->born_ms == worker.reported_born_ms &&
                     now < known->valid_until;
  return holds ? &known->permit : nullptr;
}

bool permit_book::MayAsk(const task_ref& task,
                         const worker_entry& worker,
                         base::time_point now) const {
  const known_permit* known = FindKnown(task, worker.description.id);
  if (known == nullptr)
    return true;
  return known->state == standing::kGranted &&
         Find(task, worker, now) == nullptr;
}

void permit_book::OnAsked(const permit_request& request,
                          const worker_table& workers,
                          base::time_point now) {
  step_permits& step = steps_[FirstOfStep(request.step)];
  step.ask_again = now + request.ProcessingTime() + kLongestWait;
  for (const std::string& id : request.workers) {
    known_permit& asked = step.workers[id];
    asked.state = standing::kAsked;
    if (const worker_entry* worker = workers.Find(id))
      asked.born_ms = worker->reported_born_ms;
    // The time of an answer counts against its permits.
    asked.valid_until = now + request.timing.validity - kArrival;
  }
}

bool permit_book::IsAsking(const task_ref& task, base::time_point now) const {
  const auto found = steps_.find(FirstOfStep(task));
  return found != steps_.end() && now < found->second.ask_again;
}

void permit_book::OnGranted(const permit_request& request,
                            const std::vector<start_permit>& granted) {
  const auto found = steps_.find(FirstOfStep(request.step));
  if (found == steps_.end())
    return;
  found->second.ask_again = {};
  for (const std::string& id : request.workers)
    found->second.workers[id].state = standing::kRefused;
  for (const start_permit& permit : granted) {
    known_permit& known = found->second.workers[permit.worker];
    known.state = standing::kGranted;
    known.permit = permit.permit;
  }
}

void permit_book::OnUnanswered(const permit_request& request,
                               base::time_point now) {
  const auto found = steps_.find(FirstOfStep(request.step));
  if (found == steps_.end())
    return;
  found->second.ask_again = now + kAskAgain;
  for (const std::string& id : request.workers)
    found->second.workers.erase(id);
}

void permit_book::Forget(const task_ref& task, const std::string& worker) {
  const auto found = steps_.find(FirstOfStep(task));
  if (found != steps_.end())
    found->second.workers.erase(worker);
}

void permit_book::Erase(const std::string& submission) {
  absl::erase_if(steps_, [&](const auto& entry) {
    return entry.first.submission == submission;
  });
}

const permit_book::known_permit* permit_book::FindKnown(
    const task_ref& task,
    const std::string& worker) const {
  const auto step = steps_.find(FirstOfStep(task));
  if (step == steps_.end())
    return nullptr;
  const auto known = step->second.workers.find(worker);
  return known == step->second.workers.end() ? nullptr : &known->second;
}

}  // namespace chivecrank::submissions::internal
