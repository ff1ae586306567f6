#ifndef CHIVECRANK_TESTS_STANDIN_PLATFORM_PLATFORM_SERVICE_H_
#define CHIVECRANK_TESTS_STANDIN_PLATFORM_PLATFORM_SERVICE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"
#include "chivecrank/coordination/memory_store.h"
#include "chivecrank/http/json.h"
#include "fault_settings.h"

namespace chivecrank::standin {

/// Answers the platform's HTTP/JSON interface from a store in memory. The
/// paths under /control are for tests: they set the instance list and the
/// faults, and tell how many calls of each kind came.
class platform_service {
 public:
  platform_service(base::clock& clock, std::uint64_t seed);
  ~platform_service();

  /// Safe to call from several threads.
  http::response Answer(const http::request& message);

 private:
  using answer = base::result<http::json_object>;

  http::response Control(std::string_view path, const http::json_object& body);
  answer Operate(std::string_view operation, const http::json_object& body);
  answer Get(const http::json_object& body);
  answer Put(const http::json_object& body);
  answer Delete(const http::json_object& body);
  answer List(const http::json_object& body);
  answer Watch(const http::json_object& body);
  answer GrantLease(const http::json_object& body);
  answer RenewLease(const http::json_object& body);
  answer RevokeLease(const http::json_object& body);
  answer Instances();

  fault_settings Faults();
  void Count(const std::string& operation, const http::json_object& body);
  bool LosesAnswer(std::string_view operation);
  /// Whether a fault of this share happens now.
  bool Happens(double share);
  /// Writes when `late_by` has passed, on a thread of its own.
  void PutLater(const http::json_object& body,
                std::chrono::milliseconds late_by);

  base::clock& clock_;
  coordination::memory_store store_;
  std::mutex mutex_;
  fault_settings faults_;
  std::mt19937_64 random_;
  http::json_object instances_;
  std::map<std::string, std::int64_t> calls_;
  /// What each key held before its last write.
  std::map<std::string, coordination::store_entry> previous_;
  std::vector<std::thread> late_writes_;
};

}  // namespace chivecrank::standin

#endif  // CHIVECRANK_TESTS_STANDIN_PLATFORM_PLATFORM_SERVICE_H_
