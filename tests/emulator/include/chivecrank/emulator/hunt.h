#ifndef CHIVECRANK_EMULATOR_HUNT_H_
#define CHIVECRANK_EMULATOR_HUNT_H_

#include <cstdint>
#include <string>

#include "chivecrank/emulator/day.h"

namespace chivecrank::emulator {

/// What a hunt draws beside the faults of all hunted days. Days without it stay
/// what they were.
enum class hunt_kind {
  kUsual,
  /// Operators drain failure domains, one or several at a time.
  kWithDrains,
  /// Once all other faults are over, workers are lost for good just after a
  /// change of owner, twice.
  kWithLosses,
  /// Once all other faults are over, workers leave one by one, each with a
  /// fresh one in its place, while the store loses answers and the owner
  /// changes.
  kWithLeavers,
};

/// A day that is drawn from the seed: its size, its queues (lasting, urgent and
/// filling), and three to eight faults of all kinds that overlap, some in
/// series on the owner. Played with the same seed, it is the same again.
day_description HuntedDay(std::uint64_t seed,
                          hunt_kind kind = hunt_kind::kUsual);

/// What a hunted day broke, its faults and how to play it again, in one line.
std::string DescribeBrokenDay(const day_description& day,
                              const day_report& report,
                              std::uint64_t seed);

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_HUNT_H_
