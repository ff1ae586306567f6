#include "chivecrank/reactor/event_loop.h"

#include <algorithm>
#include <utility>

namespace chivecrank::reactor {
namespace {

/// PollSet waits in rounded_wait milliseconds.
constexpr base::milliseconds kPollResolution{1};

}  // namespace

event_loop::event_loop(base::clock& clock) : clock_(clock) {}

void event_loop::Add(const Poco::Net::Socket& socket,
                     int modes,
                     socket_callback ready) {
  sockets_[socket] = std::move(ready);
  poll_set_.add(socket, modes);
}

void event_loop::SetModes(const Poco::Net::Socket& socket, int modes) {
  poll_set_.update(socket, modes);
}

void event_loop::Remove(const Poco::Net::Socket& socket) {
  if (sockets_.erase(socket) == 0)
    return;
  poll_set_.remove(socket);
}

timer_id event_loop::After(base::duration delay, timer_callback due) {
  const timer_id id = ++last_timer_;
  const base::time_point due_time = Now() + delay;
  due_of_timer_[id] = due_time;
  timers_[{due_time, id}] = std::move(due);
  return id;
}

void event_loop::Cancel(timer_id timer) {
  const auto found = due_of_timer_.find(timer);
  if (found == due_of_timer_.end())
    return;
  timers_.erase({found->second, timer});
  due_of_timer_.erase(found);
}

std::optional<base::time_point> event_loop::NextDue() const {
  if (timers_.empty())
    return std::nullopt;
  return timers_.begin()->first.due;
}

void event_loop::RunOnce(base::duration max_wait) {
  ServeSockets(BoundedWait(max_wait));
  ServeTimers();
}

base::duration event_loop::BoundedWait(base::duration max_wait) const {
  if (timers_.empty())
    return max_wait;
  const base::duration next = timers_.begin()->first.due - Now();
  return std::clamp(next, base::duration::zero(), max_wait);
}

void event_loop::ServeSockets(base::duration wait) {
  const auto rounded_wait = std::chrono::ceil<base::milliseconds>(wait) /
                            kPollResolution * kPollResolution;
  const Poco::Timespan timeout(
      std::chrono::duration_cast<std::chrono::microseconds>(rounded_wait)
          .count());
  for (const auto& [socket, modes] : poll_set_.poll(timeout)) {
    const auto found = sockets_.find(socket);
    if (found == sockets_.end())
      continue;
    // Copied, because the callback may remove the socket and with it the
    // stored callback.
    const socket_callback ready = found->second;
    ready(modes);
  }
}

void event_loop::ServeTimers() {
  const base::time_point now = Now();
  while (!timers_.empty() && timers_.begin()->first.due <= now) {
    auto node = timers_.extract(timers_.begin());
    due_of_timer_.erase(node.key().id);
    node.mapped()();
  }
}

}  // namespace chivecrank::reactor
