#ifndef CHIVECRANK_EMULATOR_INTERNAL_DAY_PLAYER_H_
#define CHIVECRANK_EMULATOR_INTERNAL_DAY_PLAYER_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chivecrank/emulator/day.h"

namespace chivecrank::emulator::internal {

/// Plays one day: causes its faults and ends them at their times.
class day_player {
 public:
  day_player(const day_description& day, std::uint64_t seed);

  day_report Play();

 private:
  using step = std::function<void()>;

  static emulation_settings Seeded(emulation_settings settings,
                                   std::uint64_t seed);
  /// Each fault of the day as often as it begins.
  static std::vector<day_fault> AllFaults(const day_description& day);
  void Schedule(const day_fault& fault);
  /// Lets the time pass until `end`, counted from the begin of the load, and
  /// observes the lasting tasks meanwhile.
  void PassUntil(std::chrono::milliseconds end);
  /// The end of the last fault; std::nullopt during one.
  std::optional<base::time_point> CalmSince() const;
  void At(std::chrono::milliseconds time, step action);
  void HitInstances(const day_fault& fault);
  /// The living instances that the fault hits now. `drawn` are all, in an order
  /// drawn by the seed.
  std::vector<std::size_t> TargetsOf(const day_fault& fault,
                                     std::vector<std::size_t> drawn) const;
  void SetInstanceFault(std::size_t index, const day_fault& fault, bool begins);
  void HitWorkers(const day_fault& fault);
  void HitStore(const day_fault& fault);
  void Burst(const day_fault& fault);
  void OfferDeadlyTasks(const day_fault& fault);
  void DrainDomains(const day_fault& fault);
  void SetWorkerFault(const std::string& worker,
                      const day_fault& fault,
                      bool begins);
  /// Ends a worker's life; its address stays silent.
  void Lose(const std::string& worker);
  /// Begins a new, empty life of a worker.
  void Revive(const std::string& worker);
  /// `count` of them, drawn by the seed.
  std::vector<std::string> DrawWorkers(std::size_t count);
  /// All instances in an order drawn by the seed.
  std::vector<std::size_t> DrawInstances();

  const day_description& day_;
  const std::vector<day_fault> faults_;
  std::mt19937_64 random_;
  emulation emulation_;
  lasting_task_monitor monitor_;
  std::multimap<std::chrono::milliseconds, step> steps_;
  /// Drains of each failure domain that have begun and are not over.
  std::map<std::size_t, std::size_t> drains_of_;
  /// Now, counted from the begin of the load.
  std::chrono::milliseconds now_;
};

}  // namespace chivecrank::emulator::internal

#endif  // CHIVECRANK_EMULATOR_INTERNAL_DAY_PLAYER_H_
