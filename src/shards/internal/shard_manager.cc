#include "chivecrank/shards/shard_manager.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "chivecrank/ownership/rendezvous.h"

namespace chivecrank::shards {

shard_manager::shard_manager(scheduler_identity self,
                             shard_settings settings,
                             ownership::session_settings session,
                             base::clock& clock,
                             platform::store& store,
                             platform::instance_list& instances,
                             workers::agent& agents)
    : self_(std::move(self)),
      settings_(settings),
      clock_(clock),
      store_(store),
      instances_(instances),
      agents_(agents),
      registry_(store),
      session_(store, clock, session, self_.run) {}

shard_manager::~shard_manager() {
  Stop();
}

void shard_manager::Start() {
  thread_ = std::thread([this] { Run(); });
}

void shard_manager::Stop() {
  stopping_ = true;
  if (!thread_.joinable())
    return;
  thread_.join();
  DropRunners();
  std::lock_guard lock(session_mutex_);
  session_.End();
}

std::shared_ptr<shard_runner> shard_manager::RunnerOf(
    const std::string& shard) const {
  std::lock_guard lock(mutex_);
  const auto found = runners_.find(shard);
  return found == runners_.end() ? nullptr : found->second;
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

bool shard_manager::IsReady() const {
  std::lock_guard lock(mutex_);
  return ready_;
}

void shard_manager::Run() {
  while (!stopping_) {
    const base::time_point next = clock_.Now() + settings_.round;
    RunOnce();
    clock_.SleepUntil(next);
  }
}

void shard_manager::RunOnce() {
  const bool reached =
      RefreshInstances().has_value() && RefreshOwners().has_value();
  {
    std::lock_guard lock(session_mutex_);
    const auto renewed = session_.Renew();
    if (!renewed.has_value())
      LOG(WARNING) << "shards: " << base::Describe(renewed.error()) << ".";
  }
  if (!Holds())
    DropRunners();
  else
    ClaimProposed();
  RunRounds();
  std::lock_guard lock(mutex_);
  ready_ = reached;
}

base::result<void> shard_manager::RefreshInstances() {
  BOOST_OUTCOME_TRY(listed, instances_.List());
  std::lock_guard lock(mutex_);
  known_instances_ = std::move(listed);
  return base::Success();
}

base::result<void> shard_manager::RefreshOwners() {
  BOOST_OUTCOME_TRY(listed, registry_.Owners());
  std::lock_guard lock(mutex_);
  owners_.clear();
  for (ownership::owner& record : listed)
    owners_[record.shard] = std::move(record);
  return base::Success();
}

void shard_manager::ClaimProposed() {
  std::vector<std::string> live;
  std::vector<std::string> shards;
  {
    std::lock_guard lock(mutex_);
    for (const platform::instance& entry : known_instances_) {
      if (entry.kind == platform::instance_kind::kSystem &&
          entry.state == platform::instance_state::kLive) {
        live.push_back(entry.id);
      }
    }
    shards = ShardsOf(known_instances_);
  }
  for (const std::string& shard : shards) {
    if (ownership::ProposeNode(shard, live) == self_.instance &&
        RunnerOf(shard) == nullptr) {
      Claim(shard);
    }
  }
}

void shard_manager::Claim(const std::string& shard) {
  std::string holder_key;
  {
    std::lock_guard lock(session_mutex_);
    holder_key = session_.holder_key();
  }
  const auto epoch =
      registry_.Claim({shard, 0, self_.instance, holder_key, self_.address});
  if (!epoch.has_value())
    return;
  auto runner = std::make_shared<shard_runner>(
      shard, epoch.value(), settings_, clock_, store_, agents_, self_.run,
      [this] { return Holds(); });
  const auto opened = runner->Open();
  if (!opened.has_value()) {
    LOG(ERROR) << "shards: can't open " << shard << ": "
               << base::Describe(opened.error()) << ".";
    return;
  }
  std::lock_guard lock(mutex_);
  runners_[shard] = std::move(runner);
}

void shard_manager::RunRounds() {
  std::map<std::string, std::shared_ptr<shard_runner>> runners;
  std::vector<platform::instance> listed;
  {
    std::lock_guard lock(mutex_);
    runners = runners_;
    listed = known_instances_;
  }
  for (const auto& [name, runner] : runners) {
    const std::string& shard = name;
    std::vector<platform::instance> workers;
    std::copy_if(listed.begin(), listed.end(), std::back_inserter(workers),
                 [&](const platform::instance& entry) {
                   return entry.kind == platform::instance_kind::kWorker &&
                          ShardOf(entry) == shard;
                 });
    const auto done = runner->RunRound(workers);
    if (done.has_value() ||
        done.error().kind == base::error_kind::kUnavailable) {
      continue;
    }
    LOG(WARNING) << "shards: dropping " << shard << ": "
                 << base::Describe(done.error()) << ".";
    std::lock_guard lock(mutex_);
    runners_.erase(shard);
  }
}

bool shard_manager::Holds() const {
  std::lock_guard lock(session_mutex_);
  return session_.Holds();
}

void shard_manager::DropRunners() {
  std::lock_guard lock(mutex_);
  runners_.clear();
}

}  // namespace chivecrank::shards
