#ifndef CHIVECRANK_REACTOR_EVENT_LOOP_H_
#define CHIVECRANK_REACTOR_EVENT_LOOP_H_

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

#include "chivecrank/base/clock.h"

/// Non-blocking sockets, timers and HTTP messages on a single thread.
namespace chivecrank::reactor {

/// Identifies a pending timer.
using timer_id = std::uint64_t;

/// Runs callbacks of sockets and timers on the calling thread. Ready sockets
/// are served before timers, so that an answer that arrived while the process
/// was paused is read before its timeout fires.
class event_loop {
 public:
  using socket_callback = std::function<void(int ready_modes)>;
  using timer_callback = std::function<void()>;

  explicit event_loop(base::clock& clock);

  base::time_point Now() const { return clock_.Now(); }

  /// Calls `ready` each time the socket is ready for one of `modes`
  /// (Poco::Net::PollSet::Mode).
  void Add(const Poco::Net::Socket& socket, int modes, socket_callback ready);
  void SetModes(const Poco::Net::Socket& socket, int modes);
  void Remove(const Poco::Net::Socket& socket);

  /// Calls `due` once, `delay` from now.
  timer_id After(base::duration delay, timer_callback due);
  /// Has no effect on a timer that was already called or cancelled.
  void Cancel(timer_id timer);

  /// Time of the next timer; std::nullopt when none is pending.
  std::optional<base::time_point> NextDue() const;

  /// Waits at most `max_wait` for a socket or a timer, then runs the callbacks
  /// of all that are ready.
  void RunOnce(base::duration max_wait);

 private:
  struct timer_key {
    base::time_point due;
    timer_id id = 0;
    bool operator<(const timer_key& other) const {
      return std::tie(due, id) < std::tie(other.due, other.id);
    }
  };

  base::duration BoundedWait(base::duration max_wait) const;
  void ServeSockets(base::duration wait);
  void ServeTimers();

  base::clock& clock_;
  Poco::Net::PollSet poll_set_;
  std::map<Poco::Net::Socket, socket_callback> sockets_;
  std::map<timer_key, timer_callback> timers_;
  std::unordered_map<timer_id, base::time_point> due_of_timer_;
  timer_id last_timer_ = 0;
};

}  // namespace chivecrank::reactor

#endif  // CHIVECRANK_REACTOR_EVENT_LOOP_H_
