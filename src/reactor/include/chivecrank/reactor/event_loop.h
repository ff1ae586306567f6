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

/// One thread that serves many connections: sockets, timers and HTTP messages
/// without blocking.
namespace chivecrank::reactor {

/// Names a pending timer.
using timer_id = std::uint64_t;

/// Runs callbacks of sockets and timers on the calling thread. Ready sockets
/// go before timers, so that an answer which arrived during a pause is read
/// before its timeout is looked at.
class event_loop {
 public:
  using socket_callback = std::function<void(int ready_modes)>;
  using timer_callback = std::function<void()>;

  explicit event_loop(base::clock& clock);

  base::time_point Now() const { return clock_.Now(); }

  /// Calls back when the socket is ready for one of `modes`
  /// (Poco::Net::PollSet::Mode).
  void Add(const Poco::Net::Socket& socket, int modes, socket_callback ready);
  void SetModes(const Poco::Net::Socket& socket, int modes);
  void Remove(const Poco::Net::Socket& socket);

  /// Calls back once, `delay` from now.
  timer_id After(base::duration delay, timer_callback due);
  /// Forgets a timer; one that was called already is ignored.
  void Cancel(timer_id timer);

  /// When the next timer is due; nothing when none is pending.
  std::optional<base::time_point> NextDue() const;

  /// Waits at most `longest` for a socket or a timer and serves what is ready.
  void RunOnce(base::duration longest);

 private:
  struct timer_key {
    base::time_point due;
    timer_id id = 0;
    bool operator<(const timer_key& other) const {
      return std::tie(due, id) < std::tie(other.due, other.id);
    }
  };

  base::duration WaitUpTo(base::duration longest) const;
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
