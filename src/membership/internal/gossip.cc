#include "chivecrank/membership/gossip.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace chivecrank::membership {
namespace {

/// Peers that may wait to be fetched from.
constexpr std::size_t kPendingLimit = 8;
/// Peers that hear of a planned stop from the process itself.
constexpr std::size_t kFarewells = 3;

}  // namespace

gossip::gossip(peer self,
               std::uint64_t incarnation,
               gossip_settings settings,
               base::clock& clock,
               transport& calls,
               shared_document& document,
               list_source listed)
    : self_(std::move(self)),
      settings_(settings),
      clock_(clock),
      calls_(calls),
      document_(document),
      listed_(std::move(listed)),
      members_(self_, incarnation, settings.members),
      random_(settings.seed) {}

gossip::~gossip() {
  Stop();
}

void gossip::Start() {
  thread_ = std::thread([this] { Run(); });
  list_thread_ = std::thread([this] { RunList(); });
}

void gossip::Stop() {
  if (!thread_.joinable())
    return;
  stopping_ = true;
  thread_.join();
  list_thread_.join();
  {
    std::lock_guard lock(mutex_);
    members_.Leave();
  }
  Contact(kFarewells);
}

void gossip::Run() {
  while (!stopping_) {
    RunOnce();
    clock_.SleepUntil(clock_.Now() + settings_.poll);
  }
}

void gossip::RunList() {
  while (!stopping_) {
    RefreshList();
    const base::time_point next = clock_.Now() + settings_.list_period;
    while (!stopping_ && clock_.Now() < next)
      clock_.SleepUntil(clock_.Now() + settings_.poll);
  }
}

void gossip::RunOnce() {
  FetchPending();
  if (push_wanted_.exchange(false))
    Contact(settings_.push_fanout);
  if (clock_.Now() < next_beat_)
    return;
  Beat();
  std::lock_guard lock(mutex_);
  std::uniform_int_distribution<std::int64_t> pause(
      settings_.period.count() / 2, settings_.period.count() * 3 / 2);
  next_beat_ = clock_.Now() + std::chrono::milliseconds(pause(random_));
}

void gossip::Push() {
  push_wanted_ = true;
}

void gossip::Contact(std::size_t count) {
  std::vector<peer> chosen;
  {
    std::lock_guard lock(mutex_);
    chosen = members_.PickLive(count, random_);
  }
  for (const peer& to : chosen)
    ExchangeWith(to.address, to.id);
}

bool gossip::IsWatcher() const {
  std::lock_guard lock(mutex_);
  return members_.IsFirstInDomain();
}

std::vector<member> gossip::Members() const {
  std::lock_guard lock(mutex_);
  return members_.Members();
}

digest gossip::OnExchange(const digest& theirs) {
  HearRumors(theirs);
  if (theirs.version > document_.Version()) {
    std::lock_guard lock(mutex_);
    if (pending_.size() < kPendingLimit)
      pending_[theirs.sender] = theirs;
  }
  document_.HearConfirmation(theirs.version,
                             clock_.Now() - theirs.confirmed_age);
  return MyDigest(theirs.sender);
}

base::result<std::string> gossip::OnFetch(std::uint64_t version) {
  const std::uint64_t held = document_.Version();
  if (held != 0 && held >= version)
    return document_.Text();
  return base::error{base::error_kind::kNotFound,
                     self_.id + " holds version " + std::to_string(held),
                     "fetch it from another peer"};
}

bool gossip::OnRelay(const settings::endpoint& target) {
  return calls_.Exchange(target, MyDigest("")).has_value();
}

void gossip::RefreshList() {
  const auto listed = listed_();
  if (!listed.has_value())
    return;
  std::lock_guard lock(mutex_);
  members_.SetListed(listed.value(), clock_.Now());
}

void gossip::FetchPending() {
  std::map<std::string, digest> taken;
  {
    std::lock_guard lock(mutex_);
    taken.swap(pending_);
  }
  for (const auto& [sender, theirs] : taken)
    FetchFrom(theirs.address, theirs.version);
}

void gossip::Beat() {
  std::optional<peer> target;
  {
    std::lock_guard lock(mutex_);
    members_.Advance(clock_.Now());
    target = members_.Pick(random_);
  }
  if (target && !ExchangeWith(target->address, target->id))
    ProbeThroughOthers(*target);
}

bool gossip::ExchangeWith(const settings::endpoint& to, const std::string& id) {
  const base::time_point asked = clock_.Now();
  const auto answer = calls_.Exchange(to, MyDigest(id));
  if (!answer.has_value())
    return false;
  const digest& theirs = answer.value();
  HearRumors(theirs);
  FetchFrom(to, theirs.version);
  // Counted from before the question, so that it is never too young.
  document_.HearConfirmation(theirs.version, asked - theirs.confirmed_age);
  return true;
}

void gossip::ProbeThroughOthers(const peer& target) {
  std::vector<peer> through;
  {
    std::lock_guard lock(mutex_);
    through = members_.PickLive(settings_.relays + 1, random_);
  }
  std::erase_if(through,
                [&](const peer& other) { return other.id == target.id; });
  for (const peer& other : through) {
    const auto reached = calls_.Relay(other.address, target.address);
    if (reached.has_value() && reached.value())
      return;
  }
  std::lock_guard lock(mutex_);
  members_.Unanswered(target.id, clock_.Now());
}

void gossip::FetchFrom(const settings::endpoint& from, std::uint64_t version) {
  if (version <= document_.Version())
    return;
  const auto text = calls_.Fetch(from, version);
  if (!text.has_value()) {
    LOG(WARNING) << "membership: can't fetch version " << version << ": "
                 << base::Describe(text.error()) << ".";
    return;
  }
  const auto taken = document_.OfferText(text.value());
  if (!taken.has_value()) {
    LOG(WARNING) << "membership: version " << version << " from "
                 << settings::ToString(from)
                 << " is broken: " << base::Describe(taken.error()) << ".";
    return;
  }
  Push();
}

digest gossip::MyDigest(const std::string& about) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.Now() - document_.ConfirmedAt());
  std::lock_guard lock(mutex_);
  return {self_.id,
          self_.address,
          document_.Version(),
          document_.InForce(),
          age,
          members_.TakeRumors(about)};
}

void gossip::HearRumors(const digest& theirs) {
  std::lock_guard lock(mutex_);
  for (const rumor& heard : theirs.rumors)
    members_.Hear(heard, clock_.Now());
}

}  // namespace chivecrank::membership
