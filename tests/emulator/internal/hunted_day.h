#ifndef CHIVECRANK_EMULATOR_INTERNAL_HUNTED_DAY_H_
#define CHIVECRANK_EMULATOR_INTERNAL_HUNTED_DAY_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

#include "chivecrank/emulator/day.h"
#include "chivecrank/emulator/hunt.h"

namespace chivecrank::emulator::internal {

/// Draws one day of a hunt.
class hunted_day {
 public:
  hunted_day(std::uint64_t seed, hunt_kind kind)
      : random_(seed), later_random_(seed + kLaterKinds), kind_(kind) {}

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
  /// Adds faults of the kinds that came after the first seeds were recorded.
  /// They have random numbers of their own, so that a day without them stays
  /// what it was.
  void AddLaterKinds(day_description& day);
  void AddDrains(day_description& day);
  /// Workers go for good after all other faults are over, with calm after that.
  void AddDepartures(day_description& day);
  /// The owner is away until another instance has won; workers that have
  /// answered that one are lost.
  void AddLosses(day_description& day, std::chrono::milliseconds at);
  /// Workers leave one by one while the store loses answers and owners die; the
  /// last ones are gone soon after the last change of owner.
  void AddLeavers(day_description& day, std::chrono::milliseconds at);
  /// Soon after the last fault of the day so far.
  std::chrono::milliseconds CalmMoment(const day_description& day);

  std::int64_t Between(std::int64_t least, std::int64_t most);
  double Real(double least, double most);
  std::chrono::milliseconds Time(std::chrono::milliseconds least,
                                 std::chrono::milliseconds most);
  bool Chance(double share) { return Real(0, 1) < share; }

  /// Sets the random numbers for kinds that were added later apart.
  static constexpr std::uint64_t kLaterKinds = std::uint64_t{1} << 32;

  std::mt19937_64 random_;
  std::mt19937_64 later_random_;
  const hunt_kind kind_;
};

}  // namespace chivecrank::emulator::internal

#endif  // CHIVECRANK_EMULATOR_INTERNAL_HUNTED_DAY_H_
