#include "chivecrank/shards/shard_manager.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "chivecrank/ownership/rendezvous.h"

namespace chivecrank::shards {
namespace {

constexpr std::size_t kWorkerThreads = 12;
constexpr std::size_t kUnresponsiveWorkerThreads = 8;
constexpr std::size_t kStoreThreads = 8;
/// Time between two reads of the owners and the instance list. Every call
/// counts against the store's rate limit.
constexpr std::chrono::milliseconds kRefreshInterval{1000};
/// Number of renewals within the term of the ownership lease.
constexpr int kRenewalsPerTerm = 4;
/// Longest sleep between two checks whether the manager is stopping.
constexpr std::chrono::milliseconds kMaxSleep{50};

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
      renewal_interval_(session.term / kRenewalsPerTerm),
      clock_(clock),
      store_(store),
      instances_(instances),
      agents_(agents),
      report_(std::move(report)),
      on_event_(std::move(on_event)),
      registry_(store),
      session_(store, clock, session, self_.run, self_.instance),
      worker_calls_(kWorkerThreads),
      unresponsive_worker_calls_(kUnresponsiveWorkerThreads),
      store_calls_(kStoreThreads) {}

shard_manager::~shard_manager() {
  Stop();
}

void shard_manager::Start() {
  threads_.emplace_back([this] { RunRenewalLoop(); });
  threads_.emplace_back([this] { RunRefreshLoop(); });
  threads_.emplace_back([this] { RunRoundLoop(); });
}

void shard_manager::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
  CloseRunners();
  session_.End();
}

std::shared_ptr<shard_runner> shard_manager::FindRunner(
    const std::string& shard) const {
  std::lock_guard lock(mutex_);
  const auto found = runners_.find(shard);
  if (found == runners_.end())
    return nullptr;
  // After the lease has expired the shard may have another owner, which answers
  // instead.
  const protocol::authority authority =
      found->second.ownership_lease->GetAuthority(clock_.Now());
  return authority == protocol::authority::kFull ? found->second.runner
                                                 : nullptr;
}

settings::endpoint shard_manager::FindOwner(const std::string& shard) const {
  std::lock_guard lock(mutex_);
  const auto found = owners_.find(shard);
  return found == owners_.end() ? settings::endpoint{}
                                : found->second.scheduler;
}

std::vector<std::string> shard_manager::Shards() const {
  std::lock_guard lock(mutex_);
  return ShardsOf(listed_instances_);
}

std::vector<coordination::instance> shard_manager::Workers() const {
  std::lock_guard lock(mutex_);
  std::vector<coordination::instance> workers;
  for (const coordination::instance& listed : listed_instances_) {
    if (listed.kind == coordination::instance_kind::kWorker)
      workers.push_back(listed);
  }
  return workers;
}

bool shard_manager::IsReady() const {
  std::lock_guard lock(mutex_);
  return ready_;
}

void shard_manager::RunRoundLoop() {
  while (!stopping_) {
    const base::time_point next = clock_.Now() + settings_.round_interval;
    RunRounds();
    clock_.SleepUntil(next);
  }
}

void shard_manager::RunRenewalLoop() {
  while (!stopping_) {
    const auto renewed = session_.Renew();
    if (!renewed.has_value())
      LOG(WARNING) << "shards: " << base::Describe(renewed.error()) << ".";
    {
      std::lock_guard lock(mutex_);
      ownership_lease_ = session_.current_lease();
      holder_key_ = session_.holder_key();
    }
    SleepUnlessStopping(renewed.has_value() ? renewal_interval_
                                            : settings_.round_interval);
  }
}

void shard_manager::RunRefreshLoop() {
  while (!stopping_) {
    const bool reached =
        RefreshInstances().has_value() && RefreshOwners().has_value();
    {
      std::lock_guard lock(mutex_);
      ready_ = reached;
    }
    const auto ownership_lease = CurrentLease();
    if (reached && ownership_lease &&
        ownership_lease->GetAuthority(clock_.Now()) ==
            protocol::authority::kFull) {
      ClaimProposedShards();
    }
    Report();
    SleepUnlessStopping(reached ? kRefreshInterval : settings_.round_interval);
  }
}

void shard_manager::SleepUnlessStopping(base::duration time) {
  const base::time_point end = clock_.Now() + time;
  while (!stopping_ && clock_.Now() < end)
    clock_.SleepUntil(std::min(end, clock_.Now() + kMaxSleep));
}

base::result<void> shard_manager::RefreshInstances() {
  BOOST_OUTCOME_TRY(listed, instances_.List());
  std::lock_guard lock(mutex_);
  listed_instances_ = std::move(listed);
  return base::Success();
}

base::result<void> shard_manager::RefreshOwners() {
  BOOST_OUTCOME_TRY(lease_holders, registry_.ListLeaseHolders());
  {
    std::lock_guard lock(mutex_);
    lease_holders_ = std::move(lease_holders);
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

void shard_manager::ClaimProposedShards() {
  std::vector<std::string> live_schedulers;
  std::set<std::string> shards;
  std::set<std::string> owned;
  {
    std::lock_guard lock(mutex_);
    for (const coordination::instance& entry : listed_instances_) {
      if (entry.kind == coordination::instance_kind::kSystem &&
          entry.state == coordination::instance_state::kLive &&
          lease_holders_.contains(entry.id)) {
        live_schedulers.push_back(entry.id);
      }
    }
    for (std::string& shard : ShardsOf(listed_instances_))
      shards.insert(std::move(shard));
    // A shard may still have tasks after its rack is no longer listed.
    for (const auto& [shard, record] : owners_)
      shards.insert(shard);
    for (const auto& [shard, known] : runners_) {
      if (known.ownership_lease == ownership_lease_)
        owned.insert(shard);
    }
  }
  for (const std::string& shard : shards) {
    if (!owned.contains(shard) &&
        ownership::ProposeNode(shard, live_schedulers) == self_.instance) {
      Claim(shard);
    }
  }
  ReleaseUnproposedShards(live_schedulers);
}

void shard_manager::ReleaseUnproposedShards(
    const std::vector<std::string>& live_schedulers) {
  std::vector<std::string> shards_to_release;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [shard, known] : runners_) {
      const std::string proposed =
          ownership::ProposeNode(shard, live_schedulers);
      if (!proposed.empty() && proposed != self_.instance &&
          known.ownership_lease == ownership_lease_) {
        shards_to_release.push_back(shard);
      }
    }
  }
  for (const std::string& shard : shards_to_release) {
    const auto runner = FindRunner(shard);
    if (!runner || stopping_)
      continue;
    LOG(INFO) << "shards: handing over " << shard << ".";
    runner->Close();
    // No call is in progress, so none can follow the release.
    static_cast<void>(registry_.Release(shard, runner->epoch()));
    Drop(shard);
  }
}

void shard_manager::Claim(const std::string& shard) {
  std::string holder_key;
  std::shared_ptr<const protocol::ownership_lease> ownership_lease;
  {
    std::lock_guard lock(mutex_);
    holder_key = holder_key_;
    ownership_lease = ownership_lease_;
  }
  const auto epoch =
      registry_.Claim({shard, 0, self_.instance, holder_key, self_.address});
  if (!epoch.has_value())
    return;
  auto runner = std::make_shared<shard_runner>(
      shard, epoch.value(), settings_, clock_, store_, agents_, self_.run,
      ownership_lease, Executors(), on_event_);
  const auto opened = runner->Open();
  if (!opened.has_value()) {
    LOG(ERROR) << "shards: can't open " << shard << ": "
               << base::Describe(opened.error()) << ".";
    // Release the shard so that the next attempt can claim it again.
    static_cast<void>(registry_.Release(shard, epoch.value()));
    return;
  }
  owned_shard owned{std::move(runner), std::move(ownership_lease)};
  std::lock_guard lock(mutex_);
  std::swap(runners_[shard], owned);
}

executors shard_manager::Executors() {
  return {
      [this](std::function<void()> job) { worker_calls_.Post(std::move(job)); },
      [this](std::function<void()> job) {
        unresponsive_worker_calls_.Post(std::move(job));
      },
      [this](std::function<void()> job) { store_calls_.Post(std::move(job)); }};
}

void shard_manager::RunRounds() {
  std::map<std::string, owned_shard> runners;
  std::map<std::string, std::vector<coordination::instance>> workers;
  {
    std::lock_guard lock(mutex_);
    runners = runners_;
    for (const coordination::instance& entry : listed_instances_) {
      if (entry.kind == coordination::instance_kind::kWorker)
        workers[ShardOf(entry)].push_back(entry);
    }
  }
  for (const auto& [shard, owned] : runners) {
    const auto done = owned.runner->RunRound(workers[shard]);
    const bool over = owned.ownership_lease->GetAuthority(clock_.Now()) ==
                      protocol::authority::kNone;
    if (done.has_value() && !over)
      continue;
    if (!over && done.error().kind == base::error_kind::kUnavailable)
      continue;
    LOG(WARNING) << "shards: giving up " << shard << ".";
    Drop(shard);
  }
}

void shard_manager::Report() {
  std::map<std::string, owned_shard> runners;
  {
    std::lock_guard lock(mutex_);
    runners = runners_;
  }
  shard_totals totals;
  for (const auto& [shard, owned] : runners)
    Add(owned.runner->Totals(), totals);
  report_(totals);
}

void shard_manager::Drop(const std::string& shard) {
  // The runner is destroyed after the lock is released, since its destructor
  // may wait for calls.
  owned_shard dropped;
  std::lock_guard lock(mutex_);
  const auto found = runners_.find(shard);
  if (found == runners_.end())
    return;
  std::swap(dropped, found->second);
  runners_.erase(found);
}

std::shared_ptr<const protocol::ownership_lease> shard_manager::CurrentLease()
    const {
  std::lock_guard lock(mutex_);
  return ownership_lease_;
}

void shard_manager::CloseRunners() {
  std::map<std::string, owned_shard> runners;
  {
    std::lock_guard lock(mutex_);
    runners.swap(runners_);
  }
  for (const auto& [shard, owned] : runners) {
    owned.runner->Close();
    // No call is in progress, so none can follow the release.
    static_cast<void>(registry_.Release(shard, owned.runner->epoch()));
  }
}

}  // namespace chivecrank::shards
