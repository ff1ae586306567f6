#ifndef CHIVECRANK_EMULATOR_INTERNAL_FAULT_NAMES_H_
#define CHIVECRANK_EMULATOR_INTERNAL_FAULT_NAMES_H_

#include <optional>
#include <string_view>

#include "chivecrank/emulator/day.h"

namespace chivecrank::emulator::internal {

/// The fault that a day's file calls `name`.
std::optional<fault_kind> FaultKindOf(std::string_view name);

}  // namespace chivecrank::emulator::internal

#endif  // CHIVECRANK_EMULATOR_INTERNAL_FAULT_NAMES_H_
