#include "internal/fault_names.h"

#include <array>

namespace chivecrank::emulator {
namespace {

/// In the order of fault_kind.
constexpr std::array<std::string_view, 25> kFaultNames = {
    "kill_instances",   "stop_instances",  "isolate_instances",
    "freeze_instances", "clock_ahead",     "clock_behind",
    "crash_workers",    "replace_workers", "cut_workers",
    "drain_workers",    "failing_workers", "hanging_workers",
    "slow_workers",     "late_orders",     "store_down",
    "store_silent",     "store_slow",      "store_loses_answers",
    "store_compacts",   "burst",           "shrink_workers",
    "deadly_tasks",     "drain_domains",   "lose_workers",
    "retire_workers"};

}  // namespace

std::string_view NameOf(fault_kind kind) {
  return kFaultNames.at(static_cast<std::size_t>(kind));
}

bool CanHitOwner(fault_kind kind) {
  return kind == fault_kind::kKillInstances ||
         kind == fault_kind::kStopInstances ||
         kind == fault_kind::kIsolateInstances ||
         kind == fault_kind::kFreezeInstances;
}

}  // namespace chivecrank::emulator

namespace chivecrank::emulator::internal {

std::optional<fault_kind> FaultKindOf(std::string_view name) {
  for (std::size_t i = 0; i < kFaultNames.size(); ++i)
    if (kFaultNames.at(i) == name)
      return static_cast<fault_kind>(i);
  return std::nullopt;
}

}  // namespace chivecrank::emulator::internal
