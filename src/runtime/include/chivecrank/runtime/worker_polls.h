#ifndef CHIVECRANK_RUNTIME_WORKER_POLLS_H_
#define CHIVECRANK_RUNTIME_WORKER_POLLS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"

namespace chivecrank::runtime {

/// When the workers of a shard are polled, and what the newest poll of each
/// told of its process. One poll of a worker is in flight at a time. All calls
/// happen on the event loop's thread.
class worker_polls {
 public:
  /// `poll` polls a worker, or forgets it or schedules it again.
  worker_polls(reactor::event_loop& loop,
               std::function<void(const std::string& worker)> poll);

  /// Polls the worker after `delay`, unless a poll of it is in flight or due
  /// earlier.
  void Schedule(const std::string& worker, std::chrono::milliseconds delay);
  /// The worker isn't polled any more; the answer to the poll in flight is
  /// ignored.
  void Forget(const std::string& worker);
  bool Contains(const std::string& worker) const {
    return polls_.contains(worker);
  }

  /// A poll is sent; returns its number.
  std::uint64_t OnSent(const std::string& worker);
  /// That poll has ended; `incarnation` is the start of the process that
  /// answered, unset if none did. Returns false if another poll is in flight,
  /// or none.
  bool OnEnded(const std::string& worker,
               std::uint64_t number,
               std::optional<std::int64_t> incarnation);

  /// Whether the newest poll that ended was answered.
  bool WasAnswered(const std::string& worker) const;
  /// Start of the process that answered last, in milliseconds since 1970; 0 if
  /// none has.
  std::int64_t Incarnation(const std::string& worker) const;

 private:
  struct poll_state {
    /// Number of the poll in flight; 0 for none.
    std::uint64_t in_flight = 0;
    bool answered = false;
    std::int64_t incarnation = 0;
    reactor::timer_id timer = 0;
    /// When the timer fires; unset while it is not running.
    std::optional<base::time_point> due;
  };

  reactor::event_loop& loop_;
  const std::function<void(const std::string& worker)> poll_;
  std::map<std::string, poll_state> polls_;
  std::uint64_t last_number_ = 0;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_WORKER_POLLS_H_
