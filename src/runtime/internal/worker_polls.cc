#include "chivecrank/runtime/worker_polls.h"

#include <utility>

namespace chivecrank::runtime {

worker_polls::worker_polls(reactor::event_loop& loop,
                           std::function<void(const std::string& worker)> poll)
    : loop_(loop), poll_(std::move(poll)), guard_(loop) {}

void worker_polls::Schedule(const std::string& worker,
                            std::chrono::milliseconds delay) {
  poll_state& state = polls_[worker];
  if (state.in_flight != 0)
    return;
  // Keep a poll that is scheduled earlier, so that consecutive commands do not
  // postpone it.
  const base::time_point due = loop_.Now() + delay;
  if (state.due && *state.due <= due)
    return;
  loop_.Cancel(state.timer);
  state.due = due;
  state.timer = loop_.After(delay, guard_.Wrap([this, worker] {
    polls_[worker].due.reset();
    poll_(worker);
  }));
}

void worker_polls::Forget(const std::string& worker) {
  const auto found = polls_.find(worker);
  if (found == polls_.end())
    return;
  loop_.Cancel(found->second.timer);
  polls_.erase(found);
}

std::uint64_t worker_polls::OnSent(const std::string& worker) {
  return polls_[worker].in_flight = ++last_number_;
}

bool worker_polls::OnEnded(const std::string& worker,
                           std::uint64_t number,
                           std::optional<std::int64_t> incarnation) {
  const auto found = polls_.find(worker);
  if (found == polls_.end() || found->second.in_flight != number)
    return false;
  poll_state& state = found->second;
  state.in_flight = 0;
  state.answered = incarnation.has_value();
  state.incarnation = incarnation.value_or(state.incarnation);
  return true;
}

bool worker_polls::WasAnswered(const std::string& worker) const {
  const auto found = polls_.find(worker);
  return found != polls_.end() && found->second.answered;
}

std::int64_t worker_polls::Incarnation(const std::string& worker) const {
  const auto found = polls_.find(worker);
  return found == polls_.end() ? 0 : found->second.incarnation;
}

}  // namespace chivecrank::runtime
