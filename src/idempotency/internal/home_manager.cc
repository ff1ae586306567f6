#include "chivecrank/idempotency/home_manager.h"

#include <glog/logging.h>

#include <utility>

#include "chivecrank/ownership/rendezvous.h"

namespace chivecrank::idempotency {
namespace {

constexpr std::chrono::milliseconds kMaintenanceInterval{100};
constexpr std::chrono::milliseconds kPingInterval{250};
/// An entry counts as gone after this many consecutive pings without an answer.
constexpr int kMaxMissedPings = 2;
/// How long the previous home has to hand a partition over.
constexpr std::chrono::milliseconds kHandoverTimeout{2000};
constexpr std::chrono::milliseconds kCloseTimeout{1500};

base::error NotHome() {
  return {base::error_kind::kFenced, "this entry is not the home of the key",
          "send the request to the key's new home"};
}

std::string NodeKey(partition_id number) {
  return "requests/" + std::to_string(number);
}

}  // namespace

home_manager::home_manager(entry_identity self,
                           home_settings settings,
                           base::clock& clock,
                           coordination::store& store,
                           home_client& peers)
    : self_(std::move(self)),
      settings_(settings),
      clock_(clock),
      store_(store),
      peers_(peers) {}

home_manager::~home_manager() {
  Stop();
}

void home_manager::Start() {
  maintenance_thread_ = std::thread([this] { MaintainHomes(); });
  ping_thread_ = std::thread([this] { MonitorPeers(); });
}

void home_manager::Stop() {
  stopping_ = true;
  if (maintenance_thread_.joinable())
    maintenance_thread_.join();
  if (ping_thread_.joinable())
    ping_thread_.join();
  std::vector<std::thread> closing;
  for (partition_id number = 0; number < kPartitions; ++number) {
    const auto home = Locate(number).local;
    if (home)
      closing.emplace_back([home] { home->Close(kCloseTimeout); });
  }
  for (std::thread& thread : closing)
    thread.join();
}

void home_manager::Update(const std::vector<coordination::instance>& listed) {
  std::map<std::string, settings::endpoint> entries;
  for (const coordination::instance& instance : listed) {
    if (instance.kind == coordination::instance_kind::kSystem &&
        instance.state == coordination::instance_state::kLive) {
      entries[instance.id] = instance.entry;
    }
  }
  std::lock_guard held(mutex_);
  entries_ = std::move(entries);
}

home_location home_manager::Locate(partition_id number) const {
  std::lock_guard held(mutex_);
  const auto& home = homes_.at(number);
  if (home && home->IsOpen())
    return {home, self_.instance, std::nullopt};
  const std::string proposed = ProposedHome(number);
  const auto found = entries_.find(proposed);
  if (found == entries_.end() || proposed == self_.instance)
    return {nullptr, proposed, std::nullopt};
  return {nullptr, proposed, found->second};
}

base::result<decision> home_manager::Begin(const arrival& request,
                                           time_limits limits) {
  const auto home = HomeOf(request.request_id);
  if (!home)
    return NotHome();
  return home->Begin(request, limits);
}

base::result<void> home_manager::Finish(const log_entry& outcome) {
  const auto home = HomeOf(outcome.request_id);
  if (!home)
    return NotHome();
  return home->Finish(outcome);
}

base::result<key_report> home_manager::Describe(const std::string& request_id) {
  const auto home = HomeOf(request_id);
  if (!home)
    return NotHome();
  return home->Describe(request_id);
}

void home_manager::MaintainHomes() {
  while (!stopping_) {
    for (partition_id number = 0; number < kPartitions; ++number) {
      if (!stopping_)
        MaintainHome(number);
    }
    clock_.SleepUntil(clock_.Now() + kMaintenanceInterval);
  }
}

void home_manager::MaintainHome(partition_id number) {
  std::shared_ptr<partition_home> home;
  bool is_proposed = false;
  {
    std::lock_guard held(mutex_);
    home = homes_.at(number);
    is_proposed = ProposedHome(number) == self_.instance;
  }
  auto& since = proposed_since_.at(number);
  if (!is_proposed)
    since.reset();
  else if (!since)
    since = clock_.Now();
  if (home && !is_proposed)
    home->Close(kCloseTimeout);
  if (home && !home->IsOpen()) {
    std::lock_guard held(mutex_);
    homes_.at(number).reset();
    home.reset();
    since.reset();
    return;
  }
  if (!home && is_proposed && MayClaim(number))
    Claim(number);
}

bool home_manager::MayClaim(partition_id number) {
  const auto owner = ReadOwner(store_, number);
  if (!owner.has_value())
    return false;
  if (!owner.value() || owner.value()->closed)
    return true;
  const bool handover_timed_out =
      clock_.Now() >= *proposed_since_.at(number) + kHandoverTimeout;
  const std::string& writer = owner.value()->writer;
  const std::string instance = writer.substr(0, writer.find('/'));
  std::lock_guard held(mutex_);
  const auto missed = missed_pings_.find(instance);
  const bool answers = entries_.contains(instance) &&
                       instance != self_.instance &&
                       (missed == missed_pings_.end() || missed->second == 0);
  return handover_timed_out || !answers;
}

void home_manager::Claim(partition_id number) {
  auto home = std::make_shared<partition_home>(
      store_, clock_, number, self_.instance + "/" + self_.run, settings_);
  const auto opened = home->Open();
  if (!opened.has_value()) {
    LOG(WARNING) << "requests: can't open partition " << number << ": "
                 << base::Describe(opened.error()) << ".";
    return;
  }
  std::lock_guard held(mutex_);
  homes_.at(number) = std::move(home);
}

void home_manager::MonitorPeers() {
  while (!stopping_) {
    const base::time_point next = clock_.Now() + kPingInterval;
    std::map<std::string, settings::endpoint> entries;
    {
      std::lock_guard held(mutex_);
      entries = entries_;
    }
    std::vector<std::thread> pings;
    for (const auto& [instance, entry] : entries) {
      if (instance != self_.instance) {
        pings.emplace_back([this, id = instance, at = entry] { Ping(id, at); });
      }
    }
    for (std::thread& thread : pings)
      thread.join();
    clock_.SleepUntil(next);
  }
}

void home_manager::Ping(const std::string& instance,
                        const settings::endpoint& entry) {
  const auto answered = peers_.Ping(entry);
  std::lock_guard held(mutex_);
  int& missed = missed_pings_[instance];
  missed = answered.has_value() ? 0 : missed + 1;
}

std::vector<std::string> home_manager::AnsweringEntries() const {
  std::vector<std::string> answering;
  for (const auto& [instance, entry] : entries_) {
    const auto missed = missed_pings_.find(instance);
    if (missed == missed_pings_.end() || missed->second < kMaxMissedPings)
      answering.push_back(instance);
  }
  return answering;
}

std::string home_manager::ProposedHome(partition_id number) const {
  return ownership::ProposeNode(NodeKey(number), AnsweringEntries());
}

std::shared_ptr<partition_home> home_manager::HomeOf(
    std::string_view request_id) const {
  std::lock_guard held(mutex_);
  return homes_.at(PartitionOf(request_id));
}

}  // namespace chivecrank::idempotency
