#include "chivecrank/shards/shard_manager.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "chivecrank/ownership/rendezvous.h"

namespace chivecrank::shards {
namespace {

constexpr std::size_t kWorkerThreads = 12;
constexpr std::size_t kSilentWorkerThreads = 8;
constexpr std::size_t kStoreThreads = 8;
/// Owners and instances are read this often; the store counts every call.
constexpr std::chrono::milliseconds kRefresh{1000};
/// Renewals within the term of the ownership lease.
constexpr int kRenewalsPerTerm = 4;
/// Longest sleep that does not notice the end.
constexpr std::chrono::milliseconds kNap{50};

}  // namespace

shard_manager::shard_manager(scheduler_identity self,
                             shard_settings settings,
                             ownership::session_settings session,
                             base::clock& clock,
                             coordination::store& store,
                             coordination::instance_list& instances,
                             workers::agent& agents,
                             std::function<void(const shard_totals&)> report,
                             event_hook on_event)
    : self_(std::move(self)),
      settings_(settings),
      renewal_(session.term / kRenewalsPerTerm),
      clock_(clock),
      store_(store),
      instances_(instances),
      agents_(agents),
      report_(std::move(report)),
      on_event_(std::move(on_event)),
      registry_(store),
      session_(store, clock, session, self_.run, self_.instance),
      worker_calls_(kWorkerThreads),
      silent_worker_calls_(kSilentWorkerThreads),
      store_calls_(kStoreThreads) {}

shard_manager::~shard_manager() {
  Stop();
}

void shard_manager::Start() {
  threads_.emplace_back([this] { RunRenewals(); });
  threads_.emplace_back([this] { RunRefreshes(); });
  threads_.emplace_back([this] { Run(); });
}

void shard_manager::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
  CloseRunners();
  session_.End();
}

std::shared_ptr<shard_runner> shard_manager::RunnerOf(
    const std::string& shard) const {
  std::lock_guard lock(mutex_);
  const auto found = runners_.find(shard);
  if (found == runners_.end())
    return nullptr;
  // After its lease the shard may have another owner, who answers instead.
  const protocol::authority may =
      found->second.held->GetAuthority(clock_.Now());
  return may == protocol::authority::kFull ? found->second.runner : nullptr;
}

settings::endpoint shard_manager::OwnerOf(const std::string& shard) const {
  std::lock_guard lock(mutex_);
  const auto found = owners_.find(shard);
  return found == owners_.end() ? settings::endpoint{}
                                : found->second.scheduler;
}

std::vector<std::string> shard_manager::Shards() const {
  std::lock_guard lock(mutex_);
  return ShardsOf(known_instances_);
}

std::vector<coordination::instance> shard_manager::Workers() const {
  std::lock_guard lock(mutex_);
  std::vector<coordination::instance> workers;
  for (const coordination::instance& listed : known_instances_) {
    if (listed.kind == coordination::instance_kind::kWorker)
      workers.push_back(listed);
  }
  return workers;
}

bool shard_manager::IsReady() const {
  std::lock_guard lock(mutex_);
  return ready_;
}

void shard_manager::Run() {
  while (!stopping_) {
    const base::time_point next = clock_.Now() + settings_.round_interval;
    RunRounds();
    clock_.SleepUntil(next);
  }
}

void shard_manager::RunRenewals() {
  while (!stopping_) {
    const auto renewed = session_.Renew();
    if (!renewed.has_value())
      LOG(WARNING) << "shards: " << base::Describe(renewed.error()) << ".";
    {
      std::lock_guard lock(mutex_);
      held_ = session_.current_lease();
      holder_key_ = session_.holder_key();
    }
    SleepUnlessStopping(renewed.has_value() ? renewal_
                                            : settings_.round_interval);
  }
}

void shard_manager::RunRefreshes() {
  while (!stopping_) {
    const bool reached =
        RefreshInstances().has_value() && RefreshOwners().has_value();
    {
      std::lock_guard lock(mutex_);
      ready_ = reached;
    }
    const auto held = Held();
    if (reached && held &&
        held->GetAuthority(clock_.Now()) == protocol::authority::kFull) {
      ClaimProposed();
    }
    Report();
    SleepUnlessStopping(reached ? kRefresh : settings_.round_interval);
  }
}

void shard_manager::SleepUnlessStopping(base::duration time) {
  const base::time_point end = clock_.Now() + time;
  while (!stopping_ && clock_.Now() < end)
    clock_.SleepUntil(std::min(end, clock_.Now() + kNap));
}

base::result<void> shard_manager::RefreshInstances() {
  BOOST_OUTCOME_TRY(listed, instances_.List());
  std::lock_guard lock(mutex_);
  known_instances_ = std::move(listed);
  return base::Success();
}

base::result<void> shard_manager::RefreshOwners() {
  BOOST_OUTCOME_TRY(holders, registry_.ListLeaseHolders());
  {
    std::lock_guard lock(mutex_);
    holders_ = std::move(holders);
  }
  if (!owners_known_)
    return ListOwners();
  BOOST_OUTCOME_TRY(changes, registry_.ChangesAfter(owners_revision_));
  if (changes.gap)
    return ListOwners();
  std::lock_guard lock(mutex_);
  for (ownership::owner& record : changes.owners)
    owners_[record.shard] = std::move(record);
  owners_revision_ = changes.revision;
  return base::Success();
}

base::result<void> shard_manager::ListOwners() {
  BOOST_OUTCOME_TRY(listed, registry_.ListOwners());
  std::lock_guard lock(mutex_);
  owners_.clear();
  for (ownership::owner& record : listed.owners)
    owners_[record.shard] = std::move(record);
  owners_revision_ = listed.revision;
  owners_known_ = true;
  return base::Success();
}

void shard_manager::ClaimProposed() {
  std::vector<std::string> live;
  std::set<std::string> shards;
  std::set<std::string> led;
  {
    std::lock_guard lock(mutex_);
    for (const coordination::instance& entry : known_instances_) {
      if (entry.kind == coordination::instance_kind::kSystem &&
          entry.state == coordination::instance_state::kLive &&
          holders_.contains(entry.id)) {
        live.push_back(entry.id);
      }
    }
    for (std::string& shard : ShardsOf(known_instances_))
      shards.insert(std::move(shard));
    // A shard whose rack is gone may still hold tasks.
    for (const auto& [shard, record] : owners_)
      shards.insert(shard);
    for (const auto& [shard, known] : runners_) {
      if (known.held == held_)
        led.insert(shard);
    }
  }
  for (const std::string& shard : shards) {
    if (!led.contains(shard) &&
        ownership::ProposeNode(shard, live) == self_.instance) {
      Claim(shard);
    }
  }
  GiveUpUnproposed(live);
}

void shard_manager::GiveUpUnproposed(const std::vector<std::string>& live) {
  std::vector<std::string> others;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [shard, known] : runners_) {
      const std::string proposed = ownership::ProposeNode(shard, live);
      if (!proposed.empty() && proposed != self_.instance &&
          known.held == held_) {
        others.push_back(shard);
      }
    }
  }
  for (const std::string& shard : others) {
    const auto runner = RunnerOf(shard);
    if (!runner || stopping_)
      continue;
    LOG(INFO) << "shards: handing " << shard << " over.";
    runner->Close();
    // Without calls in progress nothing of ours can follow the release.
    static_cast<void>(registry_.Release(shard, runner->epoch()));
    Drop(shard);
  }
}

void shard_manager::Claim(const std::string& shard) {
  std::string holder_key;
  std::shared_ptr<const protocol::ownership_lease> held;
  {
    std::lock_guard lock(mutex_);
    holder_key = holder_key_;
    held = held_;
  }
  const auto epoch =
      registry_.Claim({shard, 0, self_.instance, holder_key, self_.address});
  if (!epoch.has_value())
    return;
  auto runner = std::make_shared<shard_runner>(
      shard, epoch.value(), settings_, clock_, store_, agents_, self_.run, held,
      Executors(), on_event_);
  const auto opened = runner->Open();
  if (!opened.has_value()) {
    LOG(ERROR) << "shards: can't open " << shard << ": "
               << base::Describe(opened.error()) << ".";
    // Released, so that the next try may claim it again.
    static_cast<void>(registry_.Release(shard, epoch.value()));
    return;
  }
  held_shard led{std::move(runner), std::move(held)};
  std::lock_guard lock(mutex_);
  std::swap(runners_[shard], led);
}

executors shard_manager::Executors() {
  return {
      [this](std::function<void()> job) { worker_calls_.Post(std::move(job)); },
      [this](std::function<void()> job) {
        silent_worker_calls_.Post(std::move(job));
      },
      [this](std::function<void()> job) { store_calls_.Post(std::move(job)); }};
}

void shard_manager::RunRounds() {
  std::map<std::string, held_shard> runners;
  std::map<std::string, std::vector<coordination::instance>> workers;
  {
    std::lock_guard lock(mutex_);
    runners = runners_;
    for (const coordination::instance& entry : known_instances_) {
      if (entry.kind == coordination::instance_kind::kWorker)
        workers[ShardOf(entry)].push_back(entry);
    }
  }
  for (const auto& [shard, led] : runners) {
    const auto done = led.runner->RunRound(workers[shard]);
    const bool over =
        led.held->GetAuthority(clock_.Now()) == protocol::authority::kNone;
    if (done.has_value() && !over)
      continue;
    if (!over && done.error().kind == base::error_kind::kUnavailable)
      continue;
    LOG(WARNING) << "shards: dropping " << shard << ".";
    Drop(shard);
  }
}

void shard_manager::Report() {
  std::map<std::string, held_shard> runners;
  {
    std::lock_guard lock(mutex_);
    runners = runners_;
  }
  shard_totals totals;
  for (const auto& [shard, led] : runners)
    Add(led.runner->Totals(), totals);
  report_(totals);
}

void shard_manager::Drop(const std::string& shard) {
  // Destroyed after the lock is free, since that may wait for calls.
  held_shard dropped;
  std::lock_guard lock(mutex_);
  const auto found = runners_.find(shard);
  if (found == runners_.end())
    return;
  std::swap(dropped, found->second);
  runners_.erase(found);
}

std::shared_ptr<const protocol::ownership_lease> shard_manager::Held() const {
  std::lock_guard lock(mutex_);
  return held_;
}

void shard_manager::CloseRunners() {
  std::map<std::string, held_shard> runners;
  {
    std::lock_guard lock(mutex_);
    runners.swap(runners_);
  }
  for (const auto& [shard, led] : runners) {
    led.runner->Close();
    // Without calls in progress nothing of ours can follow the release.
    static_cast<void>(registry_.Release(shard, led.runner->epoch()));
  }
}

}  // namespace chivecrank::shards
