#ifndef CHIVECRANK_EMULATOR_INTERNAL_HUNTED_DAY_H_
#define CHIVECRANK_EMULATOR_INTERNAL_HUNTED_DAY_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

#include "chivecrank/emulator/day.h"

namespace chivecrank::emulator::internal {

/// Draws one day of a hunt.
class hunted_day {
 public:
  explicit hunted_day(std::uint64_t seed) : random_(seed) {}

  day_description Draw();

 private:
  void DrawSize(emulation_settings& system);
  queue_load DrawUrgent();
  queue_load DrawFilling();
  /// Services that reserve up to half of the processors by the end of the load.
  queue_load DrawLasting(const emulation_settings& system);
  std::vector<day_fault> DrawFaults(const emulation_settings& system);
  day_fault DrawFault(std::chrono::milliseconds around,
                      const emulation_settings& system);
  void DrawSeries(day_fault& fault);

  std::int64_t Between(std::int64_t least, std::int64_t most);
  double Real(double least, double most);
  std::chrono::milliseconds Time(std::chrono::milliseconds least,
                                 std::chrono::milliseconds most);
  bool Chance(double share) { return Real(0, 1) < share; }

  std::mt19937_64 random_;
};

}  // namespace chivecrank::emulator::internal

#endif  // CHIVECRANK_EMULATOR_INTERNAL_HUNTED_DAY_H_
