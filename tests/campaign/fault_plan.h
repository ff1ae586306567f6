#ifndef CHIVECRANK_TESTS_CAMPAIGN_FAULT_PLAN_H_
#define CHIVECRANK_TESTS_CAMPAIGN_FAULT_PLAN_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace chivecrank::harness {

/// The faults of a campaign.
enum class fault_kind {
  kKillInstance,
  kPauseInstance,
  kStopInstance,
  kKillWorker,
  kPauseWorker,
  kLeaveWorker,
  kPlatformDown,
  kPlatformSlow,
  kPlatformLosesAnswers,
  kCancellationWave,
  kOperatorRace,
};

std::string_view FaultKindName(fault_kind value);

/// Whether the fault concerns the platform, which shows one at a time.
bool ConcernsPlatform(fault_kind value);

/// One fault: `target` is the number of an instance or a worker.
struct planned_fault {
  fault_kind kind = fault_kind::kKillInstance;
  int target = 0;
  std::chrono::milliseconds lasts{0};
};

/// The faults that hold at the same time, one or two.
struct fault_round {
  std::vector<planned_fault> faults;
};

/// Draws rounds of faults from a seed: every kind comes before any comes
/// again, alone or together with another.
class fault_plan {
 public:
  fault_plan(std::uint64_t seed, int instances, int workers);

  fault_round Next();

 private:
  fault_kind NextKind();
  planned_fault Draw(fault_kind kind);
  int Between(int lowest, int highest);

  std::mt19937_64 random_;
  const int instances_;
  const int workers_;
  std::vector<fault_kind> left_;
};

/// "kill_instance(3) 1500 ms + platform_down 2500 ms".
std::string Describe(const fault_round& round);

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_CAMPAIGN_FAULT_PLAN_H_
