#ifndef CHIVECRANK_ADMISSION_REQUEST_QUEUE_H_
#define CHIVECRANK_ADMISSION_REQUEST_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chivecrank/admission/drain_rate.h"
#include "chivecrank/admission/types.h"
#include "chivecrank/base/clock.h"

namespace chivecrank::admission {

/// Requests of one service that wait at one entry.
///
/// Among the accounts that have not recently been served more than their
/// weighted share, the request with the earliest deadline is served first. A
/// request that can't be answered in time is refused at once. When the queue is
/// full, the account furthest above its share loses its request with the latest
/// deadline. Not thread-safe.
class request_queue {
 public:
  explicit request_queue(const queue_options& options);

  void SetOptions(const queue_options& options) { options_ = options; }

  /// Enqueues a request or refuses it.
  admission_decision Admit(const admission_request& request,
                           const service_capacity& capacity,
                           base::time_point now);

  /// The request that would be served next; nothing if none waits.
  std::optional<waiting_request> Next() const;
  /// Dequeues the request that is served next. It counts as in flight until
  /// Finish is called for its account.
  std::optional<request_number> Pop(base::time_point now);
  /// A dequeued request of an account has ended.
  void Finish(const std::string& account);

  /// Removes the requests that can no longer be answered in time.
  std::vector<refusal> TakeInfeasible(const service_capacity& capacity,
                                      base::time_point now);

  /// Estimated wait of a request that is enqueued now, behind the whole queue.
  std::chrono::milliseconds ExpectedWait(const service_capacity& capacity,
                                         base::time_point now);

  std::int64_t waiting() const { return waiting_; }

 private:
  using order_key = std::pair<base::time_point, request_number>;
  struct account_state {
    double weight = 1;
    std::int64_t in_flight = 0;
    /// Requests served so far, divided by the weight.
    double weighted_served = 0;
    std::map<order_key, base::time_point> queue;

    double WeightedQueueLength() const {
      return static_cast<double>(std::ssize(queue)) / weight;
    }
  };
  using account_map = std::map<std::string, account_state>;

  std::chrono::milliseconds ExpectedWaitOf(const account_state& account,
                                           const service_capacity& capacity,
                                           base::time_point now);
  account_map::const_iterator ChooseAccount() const;
  refusal Evict(const account_state& requester,
                const service_capacity& capacity,
                base::time_point now);
  double LeastServed() const;

  queue_options options_;
  account_map accounts_;
  drain_rate rate_;
  std::int64_t waiting_ = 0;
  /// Value of `weighted_served` that the least served waiting account had at
  /// the last dequeue; it never falls.
  double served_floor_ = 0;
};

}  // namespace chivecrank::admission

#endif  // CHIVECRANK_ADMISSION_REQUEST_QUEUE_H_
