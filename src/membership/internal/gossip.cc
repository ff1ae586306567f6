#include "chivecrank/membership/gossip.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace chivecrank::membership {
namespace {

/// Maximum number of peers with a pending fetch.
constexpr std::size_t kMaxPendingFetches = 8;
/// Number of peers that a stopping process notifies itself.
constexpr std::size_t kLeaveNotifications = 3;

}  // namespace

gossip::gossip(peer self,
               std::uint64_t incarnation,
               gossip_settings settings,
               base::clock& clock,
               transport& calls,
               shared_document& document,
               peer_source listed)
    : self_(std::move(self)),
      settings_(settings),
      clock_(clock),
      transport_(calls),
      document_(document),
      list_peers_(std::move(listed)),
      members_(self_, incarnation, settings.members),
      random_(settings.seed) {}

gossip::~gossip() {
  Stop();
}

void gossip::Start() {
  thread_ = std::thread([this] { Run(); });
  refresh_thread_ = std::thread([this] { RunPeerRefresh(); });
}

void gossip::Stop() {
  if (!thread_.joinable())
    return;
  stopping_ = true;
  thread_.join();
  refresh_thread_.join();
  {
    std::lock_guard lock(mutex_);
    members_.MarkLeaving();
  }
  ExchangeWithLivePeers(kLeaveNotifications);
}

void gossip::Run() {
  while (!stopping_) {
    RunOnce();
    clock_.SleepUntil(clock_.Now() + settings_.poll_interval);
  }
}

void gossip::RunPeerRefresh() {
  while (!stopping_) {
    RefreshPeers();
    const base::time_point next = clock_.Now() + settings_.list_refresh_period;
    while (!stopping_ && clock_.Now() < next)
      clock_.SleepUntil(clock_.Now() + settings_.poll_interval);
  }
}

void gossip::RunOnce() {
  FetchPending();
  if (push_requested_.exchange(false))
    ExchangeWithLivePeers(settings_.push_fanout);
  if (clock_.Now() < next_exchange_)
    return;
  RunPeriodicExchange();
  std::lock_guard lock(mutex_);
  std::uniform_int_distribution<std::int64_t> pause(
      settings_.exchange_period.count() / 2,
      settings_.exchange_period.count() * 3 / 2);
  next_exchange_ = clock_.Now() + std::chrono::milliseconds(pause(random_));
}

void gossip::Push() {
  push_requested_ = true;
}

void gossip::ExchangeWithLivePeers(std::size_t count) {
  std::vector<peer> chosen;
  {
    std::lock_guard lock(mutex_);
    chosen = members_.PickLive(count, random_);
  }
  for (const peer& to : chosen)
    ExchangeWith(to.address, to.id);
}

bool gossip::ShouldWatchStore() const {
  std::lock_guard lock(mutex_);
  return members_.HasLowestIdInDomain();
}

std::vector<member> gossip::Members() const {
  std::lock_guard lock(mutex_);
  return members_.Members();
}

digest gossip::OnExchange(const digest& theirs) {
  ApplyRumors(theirs);
  if (theirs.version > document_.Version()) {
    std::lock_guard lock(mutex_);
    if (pending_.size() < kMaxPendingFetches)
      pending_[theirs.sender] = theirs;
  }
  document_.RecordConfirmation(theirs.version,
                               clock_.Now() - theirs.confirmed_age);
  return MakeDigest(theirs.sender);
}

base::result<std::string> gossip::OnFetch(std::uint64_t version) {
  const std::uint64_t current_version = document_.Version();
  if (current_version != 0 && current_version >= version)
    return document_.Text();
  return base::error{
      base::error_kind::kNotFound,
      self_.id + " has version " + std::to_string(current_version),
      "fetch it from another peer"};
}

bool gossip::OnRelay(const settings::endpoint& target) {
  return transport_.Exchange(target, MakeDigest("")).has_value();
}

void gossip::RefreshPeers() {
  const auto listed = list_peers_();
  if (!listed.has_value())
    return;
  std::lock_guard lock(mutex_);
  members_.UpdatePeers(listed.value(), clock_.Now());
}

void gossip::FetchPending() {
  std::map<std::string, digest> pending;
  {
    std::lock_guard lock(mutex_);
    pending.swap(pending_);
  }
  for (const auto& [sender, theirs] : pending)
    FetchFrom(theirs.address, theirs.version);
}

void gossip::RunPeriodicExchange() {
  std::optional<peer> target;
  {
    std::lock_guard lock(mutex_);
    members_.ExpireSuspicions(clock_.Now());
    target = members_.PickProbeTarget(random_);
  }
  if (target && !ExchangeWith(target->address, target->id))
    ProbeIndirectly(*target);
}

bool gossip::ExchangeWith(const settings::endpoint& to, const std::string& id) {
  const base::time_point sent_at = clock_.Now();
  const auto answer = transport_.Exchange(to, MakeDigest(id));
  if (!answer.has_value())
    return false;
  const digest& theirs = answer.value();
  ApplyRumors(theirs);
  FetchFrom(to, theirs.version);
  // The age is counted from before the request was sent, so that the
  // confirmation never appears newer than it is.
  document_.RecordConfirmation(theirs.version, sent_at - theirs.confirmed_age);
  return true;
}

void gossip::ProbeIndirectly(const peer& target) {
  std::vector<peer> relays;
  {
    std::lock_guard lock(mutex_);
    relays = members_.PickLive(settings_.indirect_probes + 1, random_);
  }
  std::erase_if(relays,
                [&](const peer& other) { return other.id == target.id; });
  for (const peer& other : relays) {
    const auto reached = transport_.Relay(other.address, target.address);
    if (reached.has_value() && reached.value())
      return;
  }
  std::lock_guard lock(mutex_);
  members_.RecordProbeFailure(target.id, clock_.Now());
}

void gossip::FetchFrom(const settings::endpoint& from, std::uint64_t version) {
  if (version <= document_.Version())
    return;
  const auto text = transport_.Fetch(from, version);
  if (!text.has_value()) {
    LOG(WARNING) << "membership: failed to fetch version " << version << ": "
                 << base::Describe(text.error()) << ".";
    return;
  }
  const auto applied = document_.ApplyText(text.value());
  if (!applied.has_value()) {
    LOG(WARNING) << "membership: version " << version << " from "
                 << settings::ToString(from)
                 << " is malformed: " << base::Describe(applied.error()) << ".";
    return;
  }
  Push();
}

digest gossip::MakeDigest(const std::string& about) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.Now() - document_.ConfirmedAt());
  std::lock_guard lock(mutex_);
  return {self_.id,
          self_.address,
          document_.Version(),
          document_.ActiveVersion(),
          age,
          members_.TakeRumors(about)};
}

void gossip::ApplyRumors(const digest& theirs) {
  std::lock_guard lock(mutex_);
  for (const rumor& claim : theirs.rumors)
    members_.ApplyRumor(claim, clock_.Now());
}

}  // namespace chivecrank::membership
