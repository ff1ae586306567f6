#ifndef CHIVECRANK_REACTOR_CALLBACK_GUARD_H_
#define CHIVECRANK_REACTOR_CALLBACK_GUARD_H_

#include <functional>
#include <memory>
#include <utility>

#include "chivecrank/reactor/event_loop.h"

namespace chivecrank::reactor {

/// Binds callbacks to the lifetime of their owner: a wrapped callback does
/// nothing after the guard was destroyed. Declare the guard as the owner's last
/// member, so that it is destroyed first. Not thread-safe: create, use and
/// destroy it on the loop's thread.
class callback_guard {
 public:
  explicit callback_guard(event_loop& loop) : loop_(loop) {}
  ~callback_guard() { *alive_ = false; }
  callback_guard(const callback_guard&) = delete;
  callback_guard& operator=(const callback_guard&) = delete;

  template <class Callback>
  auto Wrap(Callback callback) const {
    return [alive = alive_,
            callback = std::move(callback)](auto&&... arguments) mutable {
      if (*alive)
        callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

  /// Calls `callback` once, `delay` from now, if the guard still exists then.
  void Later(base::duration delay, std::function<void()> callback) const {
    loop_.After(delay, Wrap(std::move(callback)));
  }

 private:
  event_loop& loop_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace chivecrank::reactor

#endif  // CHIVECRANK_REACTOR_CALLBACK_GUARD_H_
