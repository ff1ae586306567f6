#include "chivecrank/scheduling/waiting_queues.h"

namespace chivecrank::scheduling {
namespace {

priority_class ClassOf(const task_request& request) {
  if (request.kind == task_kind::kService)
    return priority_class::kService;
  return request.urgent ? priority_class::kUrgent : priority_class::kBatch;
}

base::wall_time DueOf(const task_request& request) {
  return request.due == base::wall_time{} ? base::wall_time::max()
                                          : request.due;
}

}  // namespace

void waiting_queues::Update(const task& changed,
                            base::wall_time now,
                            base::wall_time not_before) {
  const task_request& request = changed.request;
  Remove(request.id);
  if (!IsWaiting(changed.state))
    return;
  queued_task queued{
      {ClassOf(request), request.team, request.account, request.template_name},
      {DueOf(request), now, request.id},
      request.gang,
      not_before,
      not_before > now};
  if (queued.delayed)
    delayed_.insert({not_before, request.id});
  else
    Enqueue(queued);
  tasks_[request.id] = std::move(queued);
}

void waiting_queues::ReleaseDelayed(base::wall_time now) {
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    queued_task& released = tasks_[delayed_.begin()->second];
    delayed_.erase(delayed_.begin());
    released.delayed = false;
    Enqueue(released);
  }
}

const std::set<std::string>& waiting_queues::WaitingInGang(
    const std::string& gang) const {
  static const std::set<std::string> none;
  const auto found = gangs_.find(gang);
  return found == gangs_.end() ? none : found->second;
}

void waiting_queues::Remove(const std::string& task_id) {
  const auto found = tasks_.find(task_id);
  if (found == tasks_.end())
    return;
  const queued_task& known = found->second;
  if (known.delayed) {
    delayed_.erase({known.not_before, task_id});
  } else {
    const auto queue = queues_.find(known.key);
    queue->second.erase(known.entry);
    if (queue->second.empty())
      queues_.erase(queue);
    const auto gang = gangs_.find(known.gang);
    if (gang != gangs_.end())
      gang->second.erase(task_id);
    if (gang != gangs_.end() && gang->second.empty())
      gangs_.erase(gang);
  }
  tasks_.erase(found);
}

void waiting_queues::Enqueue(const queued_task& queued) {
  queues_[queued.key].insert(queued.entry);
  if (!queued.gang.empty())
    gangs_[queued.gang].insert(queued.entry.task_id);
}

}  // namespace chivecrank::scheduling
