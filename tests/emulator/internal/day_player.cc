#include "internal/day_player.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <memory>
#include <numeric>
#include <utility>

namespace chivecrank::emulator::internal {
namespace {

/// Before callers come: instances find each other and the workers.
constexpr std::chrono::milliseconds kWarmUp{6000};
constexpr std::chrono::milliseconds kWindow{2000};
constexpr double kMillisecondsPerSecond = 1000;
/// Time for a worker that drains before it leaves.
constexpr std::chrono::milliseconds kDrain{3000};

}  // namespace

day_player::day_player(const day_description& day, std::uint64_t seed)
    : day_(day),
      faults_(AllFaults(day)),
      random_(seed),
      emulation_(Seeded(day.system, seed)),
      monitor_(emulation_),
      now_(-kWarmUp) {}

emulation_settings day_player::Seeded(emulation_settings settings,
                                      std::uint64_t seed) {
  settings.seed = seed;
  return settings;
}

std::vector<day_fault> day_player::AllFaults(const day_description& day) {
  std::vector<day_fault> all;
  for (day_fault fault : day.faults) {
    const std::size_t times = std::exchange(fault.times, 1);
    for (std::size_t i = 0; i < times; ++i, fault.at += fault.every)
      all.push_back(fault);
  }
  return all;
}

day_report day_player::Play() {
  for (const day_fault& fault : faults_)
    Schedule(fault);
  PassUntil(std::chrono::milliseconds(0));
  for (auto& [time, action] : steps_) {
    PassUntil(time);
    action();
  }
  PassUntil(day_.load + day_.rest);
  return {
      .queues = emulation_.Callers(),
      .workers = emulation_.Workers().Counts(),
      .open = emulation_.Open(),
      .broken = emulation_.Workers().Broken(),
      .idle_lasting = monitor_.Broken(),
      .missed = emulation_.Missed(),
      .store_calls = emulation_.Store().Calls(),
      .store_writes = emulation_.Store().Writes(),
      .services_over_bound_seconds = emulation_.Workers().OverBoundSeconds(),
      .worst_window = emulation_.WorstWindows(kWindow)};
}

void day_player::PassUntil(std::chrono::milliseconds end) {
  while (now_ < end) {
    const bool with_load = now_.count() >= 0 && now_ < day_.load;
    auto until = std::min(end, now_ + lasting_task_monitor::kInterval);
    if (with_load)
      until = std::min(until, day_.load);
    emulation_.Run(until - now_, with_load);
    now_ = until;
    monitor_.Observe(CalmSince());
  }
}

std::optional<base::time_point> day_player::CalmSince() const {
  std::chrono::milliseconds calm_since = -kWarmUp;
  for (const day_fault& fault : faults_) {
    const auto over = fault.at + fault.lasts;
    // Drained workers are no room, and all others have to be used.
    if (fault.kind == fault_kind::kDrainDomains)
      continue;
    if (fault.at <= now_ && now_ < over)
      return std::nullopt;
    if (over <= now_)
      calm_since = std::max(calm_since, over);
  }
  const base::time_point now = emulation_.Now();
  const base::time_point workers_back = emulation_.BackAfterCrashesAt();
  if (now < workers_back)
    return std::nullopt;
  return std::max(workers_back, now - (now_ - calm_since));
}

void day_player::At(std::chrono::milliseconds time, step action) {
  steps_.emplace(time, std::move(action));
}

void day_player::Schedule(const day_fault& fault) {
  switch (fault.kind) {
    case fault_kind::kKillInstances:
    case fault_kind::kStopInstances:
    case fault_kind::kIsolateInstances:
    case fault_kind::kFreezeInstances:
    case fault_kind::kClockAhead:
    case fault_kind::kClockBehind:
      return HitInstances(fault);
    case fault_kind::kCrashWorkers:
    case fault_kind::kReplaceWorkers:
    case fault_kind::kCutWorkers:
    case fault_kind::kDrainWorkers:
    case fault_kind::kFailingWorkers:
    case fault_kind::kHangingWorkers:
    case fault_kind::kSlowWorkers:
    case fault_kind::kLateOrders:
    case fault_kind::kShrinkWorkers:
    case fault_kind::kLoseWorkers:
    case fault_kind::kRetireWorkers:
      return HitWorkers(fault);
    case fault_kind::kStoreDown:
    case fault_kind::kStoreSilent:
    case fault_kind::kStoreSlow:
    case fault_kind::kStoreLosesAnswers:
    case fault_kind::kStoreCompacts:
      return HitStore(fault);
    case fault_kind::kBurst:
      return Burst(fault);
    case fault_kind::kDeadlyTasks:
      return OfferDeadlyTasks(fault);
    case fault_kind::kDrainDomains:
      return DrainDomains(fault);
  }
}

void day_player::HitInstances(const day_fault& fault) {
  const auto hit = std::make_shared<std::vector<std::size_t>>();
  At(fault.at, [this, fault, hit, drawn = DrawInstances()] {
    *hit = TargetsOf(fault, drawn);
    for (const std::size_t index : *hit)
      SetInstanceFault(index, fault, true);
  });
  At(fault.at + fault.lasts, [this, fault, hit] {
    for (const std::size_t index : *hit)
      SetInstanceFault(index, fault, false);
  });
}

std::vector<std::size_t> day_player::TargetsOf(
    const day_fault& fault,
    std::vector<std::size_t> drawn) const {
  const auto is_dead = [this](std::size_t index) {
    return !emulation_.IsAlive(index);
  };
  if (fault.aim == fault_aim::kOwner) {
    std::erase_if(drawn, is_dead);
    const auto owner = std::ranges::find(drawn, emulation_.OwnerOf(0));
    if (owner != drawn.end())
      std::rotate(drawn.begin(), owner, std::next(owner));
  }
  drawn.resize(std::min(fault.count, drawn.size()));
  std::erase_if(drawn, is_dead);
  return drawn;
}

void day_player::SetInstanceFault(std::size_t index,
                                  const day_fault& fault,
                                  bool begins) {
  const std::chrono::milliseconds off(
      std::llround(begins ? fault.strength * kMillisecondsPerSecond : 0));
  switch (fault.kind) {
    case fault_kind::kKillInstances:
      if (begins)
        return emulation_.KillInstance(index);
      // Another fault may have ended before and started it.
      if (!emulation_.IsAlive(index))
        emulation_.StartInstance(index);
      return;
    case fault_kind::kStopInstances:
      return begins ? emulation_.StopInstance(index)
                    : emulation_.StartInstance(index);
    case fault_kind::kIsolateInstances:
      emulation_.Isolate(index, begins);
      if (begins && fault.takes_keys)
        emulation_.Store().RevokeKeysOf(emulation_.NodeOf(index));
      return;
    case fault_kind::kFreezeInstances:
      return emulation_.Freeze(index, begins);
    case fault_kind::kClockAhead:
      return emulation_.JumpClock(index, off);
    case fault_kind::kClockBehind:
      return emulation_.JumpClock(index, -off);
    default:
      return;
  }
}

void day_player::HitWorkers(const day_fault& fault) {
  for (const std::string& drawn : DrawWorkers(fault.count)) {
    const auto hit = std::make_shared<std::string>();
    At(fault.at, [this, drawn, hit, fault] {
      *hit = emulation_.NewestAt(drawn);
      SetWorkerFault(*hit, fault, true);
    });
    if (fault.kind == fault_kind::kDrainWorkers)
      At(fault.at + kDrain, [this, hit] {
        if (!emulation_.Workers().DescriptionOf(*hit).draining)
          return;
        emulation_.Workers().Crash(*hit);
        emulation_.Unlist(*hit);
      });
    At(fault.at + fault.lasts,
       [this, hit, fault] { SetWorkerFault(*hit, fault, false); });
  }
}

void day_player::SetWorkerFault(const std::string& worker,
                                const day_fault& fault,
                                bool begins) {
  worker_faults& faults = emulation_.Workers().FaultsOf(worker);
  switch (fault.kind) {
    case fault_kind::kCrashWorkers:
      if (begins) {
        emulation_.Workers().Crash(worker);
        return emulation_.Unlist(worker);
      }
      return Revive(worker);
    case fault_kind::kReplaceWorkers:
      if (begins) {
        emulation_.Workers().Crash(worker);
        return emulation_.Unlist(worker);
      }
      if (emulation_.Workers().IsReplaced(worker))
        return;
      // Another fault may have brought it back before.
      emulation_.Workers().Crash(worker);
      emulation_.Unlist(worker);
      emulation_.Replace(worker);
      return;
    case fault_kind::kDrainWorkers:
      if (!begins)
        return Revive(worker);
      return emulation_.Drain(worker);
    case fault_kind::kCutWorkers:
      faults.cut_off = begins;
      return;
    case fault_kind::kFailingWorkers:
      faults.fails_all = begins;
      return;
    case fault_kind::kHangingWorkers:
      faults.hangs = begins;
      return;
    case fault_kind::kSlowWorkers:
      faults.slowness = begins ? fault.strength : 1;
      return;
    case fault_kind::kLateOrders:
      faults.late_share = begins ? fault.strength : 0;
      return;
    case fault_kind::kShrinkWorkers:
      return emulation_.Resize(emulation_.NewestAt(worker),
                               begins ? fault.strength : 1);
    case fault_kind::kLoseWorkers:
      if (!begins)
        return;
      Lose(worker);
      return emulation_.AddWorker();
    case fault_kind::kRetireWorkers:
      if (!begins)
        return Lose(worker);
      if (emulation_.Workers().IsCrashed(worker))
        return;
      emulation_.Drain(worker, fault.lasts);
      emulation_.AddWorker();
      return;
    default:
      return;
  }
}

void day_player::Lose(const std::string& worker) {
  emulation_.Workers().Crash(worker);
  emulation_.Unlist(worker);
}

void day_player::Revive(const std::string& worker) {
  if (emulation_.Workers().IsReplaced(worker))
    return;
  // Another fault may have brought it back before.
  emulation_.Workers().Crash(worker);
  emulation_.Restart(worker);
}

void day_player::HitStore(const day_fault& fault) {
  At(fault.at, [this, fault] {
    store_faults& faults = emulation_.Store().Faults();
    if (fault.kind == fault_kind::kStoreDown)
      faults.rejecting = true;
    if (fault.kind == fault_kind::kStoreSilent)
      faults.silent = true;
    if (fault.kind == fault_kind::kStoreSlow)
      faults.slowness = fault.strength;
    if (fault.kind == fault_kind::kStoreLosesAnswers)
      faults.lost_share = fault.strength;
    if (fault.kind == fault_kind::kStoreCompacts)
      emulation_.Store().Compact();
  });
  At(fault.at + fault.lasts, [this, fault] {
    store_faults& faults = emulation_.Store().Faults();
    const store_faults none;
    if (fault.kind == fault_kind::kStoreDown)
      faults.rejecting = none.rejecting;
    if (fault.kind == fault_kind::kStoreSilent)
      faults.silent = none.silent;
    if (fault.kind == fault_kind::kStoreSlow)
      faults.slowness = none.slowness;
    if (fault.kind == fault_kind::kStoreLosesAnswers)
      faults.lost_share = none.lost_share;
  });
}

void day_player::Burst(const day_fault& fault) {
  At(fault.at, [this, fault] { emulation_.SetLoadFactor(fault.strength); });
  At(fault.at + fault.lasts, [this] { emulation_.SetLoadFactor(1); });
}

void day_player::OfferDeadlyTasks(const day_fault& fault) {
  At(fault.at, [this, fault] { emulation_.SetDeadlyShare(fault.strength); });
  At(fault.at + fault.lasts, [this] { emulation_.SetDeadlyShare(0); });
}

void day_player::DrainDomains(const day_fault& fault) {
  std::vector<std::size_t> domains(day_.system.failure_domains);
  std::iota(domains.begin(), domains.end(), std::size_t{0});
  std::shuffle(domains.begin(), domains.end(), random_);
  domains.resize(std::min(fault.count, domains.size()));
  const auto set = [this](std::size_t domain, bool begins) {
    // Drains of one domain may overlap: it is taken back when the last is over.
    std::size_t& drains = drains_of_[domain];
    drains += begins ? 1 : -1;
    if (drains == (begins ? 1 : 0))
      emulation_.DrainDomain(domain, begins);
  };
  for (const std::size_t domain : domains) {
    At(fault.at, [set, domain] { set(domain, true); });
    At(fault.at + fault.lasts, [set, domain] { set(domain, false); });
  }
}

std::vector<std::string> day_player::DrawWorkers(std::size_t count) {
  std::vector<std::string> ids = emulation_.Workers().Ids();
  std::shuffle(ids.begin(), ids.end(), random_);
  ids.resize(std::min(count, ids.size()));
  return ids;
}

std::vector<std::size_t> day_player::DrawInstances() {
  std::vector<std::size_t> places(day_.system.instances);
  std::iota(places.begin(), places.end(), std::size_t{0});
  std::shuffle(places.begin(), places.end(), random_);
  return places;
}

}  // namespace chivecrank::emulator::internal

namespace chivecrank::emulator {

day_report PlayDay(const day_description& day, std::uint64_t seed) {
  return internal::day_player(day, seed).Play();
}

}  // namespace chivecrank::emulator
