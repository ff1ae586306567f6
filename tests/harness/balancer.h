#ifndef CHIVECRANK_TESTS_HARNESS_BALANCER_H_
#define CHIVECRANK_TESTS_HARNESS_BALANCER_H_

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "harness/settings_files.h"

namespace chivecrank::harness {

/// Where callers reach the entries of these instances.
std::vector<settings::endpoint> EntriesOf(
    const std::vector<instance_addresses>& instances);

/// Stands in for the platform's balancer: it sends nothing to an entry that
/// says it is not ready. One that says nothing at all keeps getting requests,
/// as a balancer needs a while to notice that.
class balancer {
 public:
  explicit balancer(std::vector<instance_addresses> instances);
  ~balancer();
  balancer(const balancer&) = delete;
  balancer& operator=(const balancer&) = delete;

  /// Whether an entry gets requests now. Safe to call from several threads.
  bool SendsTo(const settings::endpoint& entry) const;

 private:
  void Run();
  void Check(const instance_addresses& instance);

  const std::vector<instance_addresses> instances_;
  mutable std::mutex mutex_;
  std::set<std::string> unready_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_HARNESS_BALANCER_H_
