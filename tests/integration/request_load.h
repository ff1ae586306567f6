#ifndef CHIVECRANK_TESTS_INTEGRATION_REQUEST_LOAD_H_
#define CHIVECRANK_TESTS_INTEGRATION_REQUEST_LOAD_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "harness/balancer.h"
#include "harness/caller.h"

namespace chivecrank::harness {

/// What the callers and the upstreams say of the same requests.
struct load_account {
  std::int64_t completed = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  /// Tries that ended without an answer from an entry that was reached.
  std::int64_t cut_off = 0;
  std::int64_t run_twice = 0;
  std::int64_t wrong_answers = 0;
  std::int64_t completed_without_run = 0;
  std::int64_t not_run_that_ran = 0;
  /// The tries of each request that did not complete.
  std::vector<std::string> open_tries;
};

std::string Describe(const load_account& account);

/// Callers that send non-idempotent requests one after the other, and repeat
/// each with the same key through other entries until they know its outcome.
class request_load {
 public:
  request_load(const std::vector<instance_addresses>& instances,
               std::uint64_t seed);
  ~request_load();
  request_load(const request_load&) = delete;
  request_load& operator=(const request_load&) = delete;

  void Start();
  void Stop();

  /// Compares the callers' records with how often each request ran.
  load_account Account(const std::map<std::string, std::int64_t>& runs) const;

 private:
  void Send(int number);

  balancer balancer_;
  const std::vector<settings::endpoint> entries_;
  const std::uint64_t seed_;
  std::atomic<bool> stopping_ = false;
  mutable std::mutex mutex_;
  std::vector<call_record> records_;
  std::vector<std::thread> threads_;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_INTEGRATION_REQUEST_LOAD_H_
