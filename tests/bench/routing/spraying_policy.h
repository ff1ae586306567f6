#ifndef CHIVECRANK_TESTS_BENCH_ROUTING_SPRAYING_POLICY_H_
#define CHIVECRANK_TESTS_BENCH_ROUTING_SPRAYING_POLICY_H_

#include <array>
#include <random>
#include <vector>

#include "policy.h"

namespace chivecrank::bench {

/// How a worker is chosen without regard to slots.
enum class spraying_rule {
  kRoundRobin,
  /// Least in flight from the same entry.
  kLeastInFlight,
  /// The better of two by in-flight counts that the entries tell each other.
  kPowerOfTwo,
};

/// Sends every request at once; what exceeds the slots waits at the worker.
class spraying_policy final : public policy {
 public:
  spraying_policy(const run_context& context, spraying_rule rule);

  void Arrive(std::size_t request, int entry) override;
  void Update() override;
  void LoseDomain(int domain) override;
  std::int64_t messages() const override { return messages_; }

 private:
  struct entry_state {
    bool alive = true;
    std::size_t next = 0;
    std::vector<int> in_flight = std::vector<int>(kWorkers);
    /// What the other entries had in flight when they last told.
    std::vector<int> told = std::vector<int>(kWorkers);
  };

  int Choose(entry_state& at);
  void Gossip();

  run_context context_;
  spraying_rule rule_;
  std::mt19937_64 random_;
  std::vector<int> listed_;
  std::array<entry_state, kEntries> entries_;
  std::int64_t messages_ = 0;
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_ROUTING_SPRAYING_POLICY_H_
