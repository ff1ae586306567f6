#ifndef CHIVECRANK_TESTS_CAMPAIGN_REVISION_SAMPLER_H_
#define CHIVECRANK_TESTS_CAMPAIGN_REVISION_SAMPLER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "chivecrank/settings/types.h"
#include "promise_table.h"

namespace chivecrank::harness {

/// Reads again and again which revision each daemon has in force. A daemon
/// must never show a lower one than before while it is ready, and with the
/// store up, no fault for it and 7 s gone by, none below the accepted one.
class revision_sampler {
 public:
  revision_sampler(std::vector<settings::endpoint> status_addresses,
                   promise_table& table);
  ~revision_sampler();
  revision_sampler(const revision_sampler&) = delete;
  revision_sampler& operator=(const revision_sampler&) = delete;

  void Start();
  void Stop();

  /// Notes that a revision was accepted now.
  void Accepted(std::uint64_t revision);

  /// While disturbed, lateness is not judged; going back always is.
  void SetDisturbed(bool disturbed);

 private:
  struct observation {
    std::uint64_t highest = 0;
  };

  void Run();
  void Sample(const settings::endpoint& address);
  void Judge(const settings::endpoint& address, std::uint64_t revision);

  const std::vector<settings::endpoint> addresses_;
  promise_table& table_;
  std::mutex mutex_;
  std::map<std::string, observation> seen_;
  std::uint64_t accepted_ = 0;
  std::chrono::steady_clock::time_point accepted_at_;
  std::chrono::steady_clock::time_point calm_since_;
  bool disturbed_ = false;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_CAMPAIGN_REVISION_SAMPLER_H_
