#include "chivecrank/runtime/instance_runtime.h"

#include <algorithm>
#include <utility>

namespace chivecrank::runtime {
namespace {

/// Maximum wait of a configuration watch. The configuration changes rarely, but
/// a dead connection must be noticed quickly.
constexpr std::chrono::milliseconds kConfigurationMaxWait{1000};

/// All instances have the same terms, so those of this one also tell what the
/// previous owner of a shard may have done.
runtime_settings WithOwnerTerms(runtime_settings settings) {
  settings.driver.processors_milli = settings.ownership.processors_milli;
  settings.driver.owner_lease_term = settings.ownership.term;
  return settings;
}

}  // namespace

instance_runtime::instance_runtime(reactor::event_loop& loop,
                                   base::clock& clock,
                                   metadata::store& store,
                                   submissions::worker_gateway& gateway,
                                   submissions::permit_service& permits,
                                   event_log::event_log& log,
                                   runtime_settings settings,
                                   worker_source workers,
                                   configuration_source configuration)
    : loop_(loop),
      clock_(clock),
      store_(store),
      gateway_(gateway),
      permits_(permits),
      log_(log),
      settings_(WithOwnerTerms(std::move(settings))),
      configuration_(std::move(configuration)),
      shared_([this] { return loop_.Now(); }),
      drains_(log, configuration_.decode_drain, [this] { ApplyDrains(); }),
      shared_watcher_(loop,
                      store,
                      {.prefix = std::string(kSharedPrefix)},
                      SharedHooks()),
      configuration_watcher_(
          loop,
          store,
          {.prefix = configuration_.prefix, .max_wait = kConfigurationMaxWait},
          ConfigurationHooks()),
      directory_(loop, store, log, std::move(workers), settings_.directory),
      ownership_(loop,
                 store,
                 shared_,
                 log,
                 settings_.ownership,
                 OwnershipHooks()),
      intake_(loop,
              clock,
              store,
              shared_,
              log,
              metrics_,
              settings_.intake,
              [this] { return ownership_.IsStoreResponding(); }) {
  shared_.SetHooks(ReplicaHooks());
}

instance_runtime::~instance_runtime() = default;

void instance_runtime::Start() {
  shared_watcher_.Start();
  configuration_watcher_.Start();
  ownership_.Start();
  directory_.Start(
      [this] {
        return !drivers_.empty() ||
               (shared_.ShardCount() == 0 && ownership_.DecidesShardCount());
      },
      [this] { OnWorkersListed(); });
}

void instance_runtime::Stop(std::function<void()> done) {
  stopping_ = true;
  ownership_.Release(std::move(done));
}

bool instance_runtime::IsReady() const {
  return !stopping_ && queues_ && shared_watcher_.IsCurrent() &&
         shared_.ShardCount() > 0 && ownership_.IsStoreResponding();
}

instance_metrics& instance_runtime::Metrics() {
  metrics_.SetReady(IsReady());
  metrics_.SetShardsOwned(ownership_.OwnedCount());
  metrics_.SetConfigurationVersion(queues_ ? queues_->version : 0);
  std::size_t awaited_workers = 0;
  for (const auto& [shard, driver] : drivers_)
    awaited_workers += driver->AwaitedRuns().workers;
  metrics_.SetAwaitedWorkers(awaited_workers);
  UpdateDrainMetrics();
  metrics_.SetTotal("log_lines_left_out", log_.DroppedLines());
  return metrics_;
}

void instance_runtime::UpdateDrainMetrics() {
  std::vector<submissions::domain_drain> drains;
  for (const auto& [shard, driver] : drivers_)
    for (submissions::domain_drain& drain : driver->Drains())
      drains.push_back(std::move(drain));
  metrics_.SetDrains(drains);
}

replica::hooks instance_runtime::ReplicaHooks() {
  return {.on_accepted =
              [this](const std::string& id) {
                for (const auto& [shard, driver] : drivers_)
                  driver->OnAccepted(id);
              },
          .on_ended =
              [this](const std::string& id) {
                for (const auto& [shard, driver] : drivers_)
                  driver->OnEnded(id);
              },
          .on_moved =
              [this](const std::string& id, std::uint32_t from) {
                const auto before = drivers_.find(from);
                if (before != drivers_.end())
                  before->second->OnMovedAway(id);
                for (const auto& [shard, driver] : drivers_)
                  driver->OnAccepted(id);
              },
          .on_owner =
              [this](std::uint32_t shard) { ownership_.OnOwnerChanged(shard); },
          .on_status =
              [this](std::uint32_t shard) {
                if (const auto driver = drivers_.find(shard);
                    driver != drivers_.end())
                  driver->second->OnStatusStored();
              }};
}

ownership::hooks instance_runtime::OwnershipHooks() {
  return {.on_acquired =
              [this](std::uint32_t shard, const acquisition& acquired) {
                OnShardAcquired(shard, acquired);
              },
          .on_lost = [this](std::uint32_t shard) { OnShardLost(shard); },
          .may_claim =
              [this] {
                return !stopping_ && queues_ && shared_watcher_.IsCurrent();
              },
          .on_store_regained =
              [this] {
                store_regained_at_ = loop_.Now();
                shared_watcher_.Refresh();
                configuration_watcher_.Refresh();
                directory_.Refresh(store_regained_at_);
              }};
}

prefix_watcher_hooks instance_runtime::SharedHooks() {
  return {.on_listed =
              [this](const std::vector<metadata::item>& items) {
                shared_.Reset(items);
                log_.Write("shared_keys_listed", {{"items", items.size()}});
              },
          .on_change =
              [this](const metadata::change& change) { shared_.Apply(change); },
          .on_revision =
              [this](metadata::revision revision) {
                shared_.SetRevision(revision);
              },
          .is_urgent = [this] { return !drivers_.empty(); }};
}

prefix_watcher_hooks instance_runtime::ConfigurationHooks() {
  return {
      .on_listed =
          [this](const std::vector<metadata::item>& items) {
            for (const metadata::item& item : items)
              ApplyConfiguration(item);
            drains_.Reset(items);
          },
      .on_change =
          [this](const metadata::change& change) {
            if (!change.deleted)
              ApplyConfiguration(change.now);
            drains_.Apply(change);
          },
      .on_revision = [](metadata::revision) {},
      .on_current = [this](base::time_point as_of) { ConfirmDrains(as_of); }};
}

void instance_runtime::ApplyDrains() {
  for (const auto& [shard, driver] : drivers_)
    driver->SetDrainedDomains(drains_.Domains());
}

void instance_runtime::ConfirmDrains(base::time_point as_of) {
  drains_as_of_ = as_of;
  for (const auto& [shard, driver] : drivers_)
    driver->ConfirmDrains(as_of);
}

void instance_runtime::ApplyConfiguration(const metadata::item& item) {
  if (item.key != configuration_.key)
    return;
  auto table = configuration_.decode(item.value);
  if (!table) {
    log_.Write("configuration_rejected", {{"error", table.error().message},
                                          {"revision", item.changed_at}});
    return;
  }
  // Ignore configurations that are not newer than the active one.
  if (queues_ && table.value().version <= queues_->version)
    return;
  queues_ = std::make_shared<const submissions::queue_table>(
      std::move(table.value()));
  log_.Write("configuration_in_force", {{"version", queues_->version},
                                        {"queues", queues_->routes.size()},
                                        {"revision", item.changed_at}});
  for (const auto& [shard, driver] : drivers_)
    driver->SetQueues(*queues_);
}

void instance_runtime::OnWorkersListed() {
  if (!queues_)
    return;
  ReportUnusedWorkers();
  DecideShardCount();
  for (const auto& [shard, driver] : drivers_)
    AssignWorkers(shard, *driver);
}

bool instance_runtime::IsUsed(
    const submissions::worker_description& worker) const {
  return queues_->NamesService(worker.service);
}

void instance_runtime::ReportUnusedWorkers() {
  std::set<std::string> unused;
  for (const auto& [id, worker] : directory_.Workers()) {
    if (IsUsed(worker))
      continue;
    unused.insert(id);
    if (!unused_workers_.contains(id))
      log_.Write("worker_not_used",
                 {{"worker", id}, {"service", worker.service}});
  }
  unused_workers_ = std::move(unused);
}

void instance_runtime::DecideShardCount() {
  const std::size_t workers =
      directory_.Workers().size() - unused_workers_.size();
  const bool stable = workers > 0 && workers == last_worker_count_;
  last_worker_count_ = workers;
  if (shared_.ShardCount() != 0 || !shared_watcher_.IsCurrent() || !stable)
    return;
  const std::int64_t count =
      (static_cast<std::int64_t>(workers) + settings_.workers_per_shard - 1) /
      settings_.workers_per_shard;
  metadata::transaction decision;
  const std::string key = ToString({key_kind::kShardCount, "count"});
  decision.conditions.push_back({key, 0});
  decision.writes.push_back({key, std::to_string(count)});
  log_.Write("shard_count_proposed", {{"workers", workers}, {"shards", count}});
  // The replica learns which proposal was committed first.
  store_.Commit(std::move(decision),
                [](base::result<metadata::commit_answer>) {});
}

void instance_runtime::AssignWorkers(std::uint32_t shard,
                                     shard_driver& driver) {
  std::vector<submissions::worker_description> workers;
  for (const auto& [id, worker] : directory_.Workers())
    if (ShardOfWorker(id, shared_.ShardCount()) == shard && IsUsed(worker))
      workers.push_back(worker);
  driver.SetWorkers(std::move(workers));
}

void instance_runtime::OnShardAcquired(std::uint32_t shard,
                                       const acquisition& acquired) {
  auto driver = std::make_shared<shard_driver>(
      loop_, clock_, store_, gateway_, permits_, shared_, log_, metrics_, shard,
      acquired, std::exchange(earlier_[shard], {}), settings_.driver,
      shard_driver::hooks{
          .authority = [this] { return ownership_.GetAuthority(); },
          .are_workers_current =
              [this] { return directory_.AsOf() >= store_regained_at_; },
          .on_fenced =
              [this, shard](std::string_view reason) {
                ownership_.Drop(shard, reason);
              }});
  driver->SetQueues(*queues_);
  driver->SetDrainedDomains(drains_.Domains());
  if (drains_as_of_)
    driver->ConfirmDrains(*drains_as_of_);
  drivers_[shard] = driver;
  driver->Start();
  directory_.Refresh({});
}

void instance_runtime::OnShardLost(std::uint32_t shard) {
  const auto found = drivers_.find(shard);
  if (found == drivers_.end())
    return;
  earlier_[shard] = found->second->Knowledge();
  // Destroyed later by the event loop, because this function may run inside one
  // of the driver's callbacks.
  loop_.After(base::duration::zero(), [kept = found->second] {});
  drivers_.erase(found);
}

}  // namespace chivecrank::runtime
