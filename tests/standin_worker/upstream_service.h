#ifndef CHIVECRANK_TESTS_STANDIN_WORKER_UPSTREAM_SERVICE_H_
#define CHIVECRANK_TESTS_STANDIN_WORKER_UPSTREAM_SERVICE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/http/json.h"

namespace chivecrank::standin {

/// A service of a worker. It answers each request with its own body, and
/// keeps an account of how often each request identifier ran and of how many
/// ran at once.
class upstream_service {
 public:
  upstream_service(base::clock& clock,
                   std::string worker,
                   std::chrono::milliseconds service_time,
                   std::int64_t slots);

  /// Safe to call from several threads.
  http::response Answer(const http::request& message);

 private:
  http::response Account();
  /// From now on nothing runs or is answered, so that the returned account is
  /// the last word of a worker that a test is about to kill.
  http::response Freeze();
  void HangWhileFrozen(std::unique_lock<std::mutex>& lock);

  base::clock& clock_;
  const std::string worker_;
  const std::chrono::milliseconds service_time_;
  const std::int64_t slots_;
  std::mutex mutex_;
  std::map<std::string, std::int64_t> runs_;
  std::condition_variable thawed_;
  bool frozen_ = false;
  base::wall_time last_start_;
  std::int64_t in_flight_ = 0;
  std::int64_t highest_in_flight_ = 0;
};

}  // namespace chivecrank::standin

#endif  // CHIVECRANK_TESTS_STANDIN_WORKER_UPSTREAM_SERVICE_H_
