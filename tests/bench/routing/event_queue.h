#ifndef CHIVECRANK_TESTS_BENCH_ROUTING_EVENT_QUEUE_H_
#define CHIVECRANK_TESTS_BENCH_ROUTING_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "chivecrank/base/clock.h"

namespace chivecrank::bench {

/// Virtual time: runs what is due in the order of its time, and in the order
/// of arrival where times are equal.
class event_queue {
 public:
  base::time_point Now() const { return now_; }

  void At(base::time_point when, std::function<void()> run) {
    events_.push({when, ++count_, std::move(run)});
  }
  void After(base::duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }

  /// Runs all events up to `end`.
  void RunUntil(base::time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
      const event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.run();
    }
  }

 private:
  struct event {
    base::time_point when;
    std::uint64_t number = 0;
    std::function<void()> run;

    bool operator<(const event& other) const {
      return std::pair(when, number) > std::pair(other.when, other.number);
    }
  };

  base::time_point now_;
  std::uint64_t count_ = 0;
  std::priority_queue<event> events_;
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_ROUTING_EVENT_QUEUE_H_
