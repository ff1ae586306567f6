#include "fault_plan.h"

#include <algorithm>
#include <array>

namespace chivecrank::harness {
namespace {

struct kind_name {
  fault_kind kind;
  std::string_view name;
};

constexpr std::array kKinds = {
    kind_name{fault_kind::kKillInstance, "kill_instance"},
    kind_name{fault_kind::kPauseInstance, "pause_instance"},
    kind_name{fault_kind::kStopInstance, "stop_instance"},
    kind_name{fault_kind::kKillWorker, "kill_worker"},
    kind_name{fault_kind::kPauseWorker, "pause_worker"},
    kind_name{fault_kind::kLeaveWorker, "leave_worker"},
    kind_name{fault_kind::kPlatformDown, "platform_down"},
    kind_name{fault_kind::kPlatformSlow, "platform_slow"},
    kind_name{fault_kind::kPlatformLosesAnswers, "platform_loses_answers"},
    kind_name{fault_kind::kCancellationWave, "cancellation_wave"},
    kind_name{fault_kind::kOperatorRace, "operator_race"},
};

constexpr int kShortestMilliseconds = 1000;
constexpr int kLongestMilliseconds = 6000;

bool ConcernsWorker(fault_kind kind) {
  return kind == fault_kind::kKillWorker || kind == fault_kind::kPauseWorker ||
         kind == fault_kind::kLeaveWorker;
}

bool ConcernsInstance(fault_kind kind) {
  return kind == fault_kind::kKillInstance ||
         kind == fault_kind::kPauseInstance ||
         kind == fault_kind::kStopInstance;
}

bool Clash(const planned_fault& left, const planned_fault& right) {
  if (left.kind == right.kind)
    return true;
  if (ConcernsPlatform(left.kind) && ConcernsPlatform(right.kind))
    return true;
  const bool same_group =
      (ConcernsWorker(left.kind) && ConcernsWorker(right.kind)) ||
      (ConcernsInstance(left.kind) && ConcernsInstance(right.kind));
  return same_group && left.target == right.target;
}

}  // namespace

std::string_view FaultKindName(fault_kind value) {
  for (const kind_name& entry : kKinds) {
    if (entry.kind == value)
      return entry.name;
  }
  return "unknown";
}

bool ConcernsPlatform(fault_kind value) {
  return value == fault_kind::kPlatformDown ||
         value == fault_kind::kPlatformSlow ||
         value == fault_kind::kPlatformLosesAnswers;
}

fault_plan::fault_plan(std::uint64_t seed, int instances, int workers)
    : random_(seed), instances_(instances), workers_(workers) {}

fault_round fault_plan::Next() {
  fault_round round;
  round.faults.push_back(Draw(NextKind()));
  if (Between(0, 2) == 0)
    return round;
  const planned_fault second = Draw(NextKind());
  if (!Clash(round.faults[0], second))
    round.faults.push_back(second);
  return round;
}

fault_kind fault_plan::NextKind() {
  if (left_.empty()) {
    for (const kind_name& entry : kKinds)
      left_.push_back(entry.kind);
    std::shuffle(left_.begin(), left_.end(), random_);
  }
  const fault_kind next = left_.back();
  left_.pop_back();
  return next;
}

planned_fault fault_plan::Draw(fault_kind kind) {
  planned_fault drawn;
  drawn.kind = kind;
  if (ConcernsInstance(kind))
    drawn.target = Between(0, instances_ - 1);
  if (ConcernsWorker(kind))
    drawn.target = Between(0, workers_ - 1);
  drawn.lasts = std::chrono::milliseconds(
      Between(kShortestMilliseconds, kLongestMilliseconds));
  return drawn;
}

int fault_plan::Between(int lowest, int highest) {
  return std::uniform_int_distribution<int>(lowest, highest)(random_);
}

std::string Describe(const fault_round& round) {
  std::string text;
  for (const planned_fault& fault : round.faults) {
    if (!text.empty())
      text += " + ";
    text += FaultKindName(fault.kind);
    if (ConcernsInstance(fault.kind) || ConcernsWorker(fault.kind))
      text += "(" + std::to_string(fault.target + 1) + ")";
    text += " " + std::to_string(fault.lasts.count()) + " ms";
  }
  return text;
}

}  // namespace chivecrank::harness
