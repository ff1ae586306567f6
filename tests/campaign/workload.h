#ifndef CHIVECRANK_TESTS_CAMPAIGN_WORKLOAD_H_
#define CHIVECRANK_TESTS_CAMPAIGN_WORKLOAD_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "harness/balancer.h"
#include "harness/caller.h"
#include "harness/deployment.h"

namespace chivecrank::harness {

/// What a caller knows of a job that it submitted.
struct submitted_job {
  std::string id;
  /// The cancel was confirmed.
  bool cancelled = false;
  std::string last_state;
};

/// Callers that send callouts and jobs until they are told to stop, and keep
/// the account of what they were told.
class workload {
 public:
  workload(const std::vector<instance_addresses>& instances,
           int callers,
           std::uint64_t seed);
  ~workload();
  workload(const workload&) = delete;
  workload& operator=(const workload&) = delete;

  void Start();
  /// Stops sending and waits for the calls in progress.
  void Stop();

  /// Cancels up to `count` of the jobs that are not known to have ended.
  void CancelSome(int count);

  /// Waits until every accepted job has ended, or the limit has passed.
  void WaitForJobs(std::chrono::seconds limit);

  std::vector<call_record> Calls();
  std::vector<submitted_job> Jobs();

 private:
  void SendCallouts(int number);
  void SubmitJobs();
  caller_options AccountOf(int number) const;

  balancer balancer_;
  const std::vector<settings::endpoint> entries_;
  const int callers_;
  const std::uint64_t seed_;
  std::mutex mutex_;
  std::vector<call_record> calls_;
  std::map<std::string, submitted_job> jobs_;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_CAMPAIGN_WORKLOAD_H_
