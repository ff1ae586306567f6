#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <set>

#include "chivecrank/routing/slot_router.h"

namespace chivecrank::routing {
namespace {

using std::chrono::milliseconds;

constexpr int kEntryCount = 5;
constexpr int kUpstreamCount = 6;
constexpr std::int64_t kSlotsPerUpstream = 4;
constexpr milliseconds kStepDuration{5};
constexpr milliseconds kRequestTimeout{400};
constexpr milliseconds kStuckDuration{60'000};
constexpr int kStepCount = 12'000;

/// A request that an upstream works on.
struct running_request {
  int entry = 0;
  slot_ticket ticket;
  base::time_point end;
  base::time_point deadline;
  /// Whether the entry still waits for the answer.
  bool awaited = true;
};

/// Simulates entries that exchange slots while messages are lost or delayed,
/// requests get stuck, and entries pause, die and restart.
class sharing_simulation {
 public:
  explicit sharing_simulation(std::uint64_t seed) : random_(seed) {
    options_.sharing.lease = milliseconds(200);
    options_.sharing.max_request_duration = milliseconds(400);
    options_.sharing.max_overrun = milliseconds(300);
    options_.sharing.clock_margin = milliseconds(20);
    // A short interval makes entries lend more slots.
    options_.sharing.request_interval = milliseconds(10);
    for (int i = 0; i < kUpstreamCount; ++i) {
      coordination::instance upstream;
      upstream.id = "w-" + std::to_string(i);
      upstream.slots = kSlotsPerUpstream;
      listed_.push_back(upstream);
    }
    for (int i = 0; i < kEntryCount; ++i)
      Restart(i, now_);
  }

  void Step() {
    now_ += kStepDuration;
    InjectFaults();
    EndRequests();
    DeliverMessages();
    for (int i = 0; i < kEntryCount; ++i) {
      if (IsRunning(i))
        RunEntry(i);
    }
  }

  /// Number of upstreams that work on more requests than they have slots.
  int CountOvercommittedUpstreams() const {
    std::map<std::string, std::int64_t> counts;
    for (const running_request& request : running_) {
      if (request.end > now_)
        ++counts[request.ticket.upstream.id];
    }
    return static_cast<int>(std::count_if(
        counts.begin(), counts.end(),
        [](const auto& entry) { return entry.second > kSlotsPerUpstream; }));
  }

  std::int64_t borrowed_requests() const { return borrowed_requests_; }

 private:
  struct entry_state {
    std::unique_ptr<slot_router> router;
    base::time_point paused_until;
    std::uint64_t incarnation = 0;
  };
  struct message {
    base::time_point deliver_at;
    int sender = 0;
    std::uint64_t incarnation = 0;
    outgoing_exchange sent;
    std::optional<exchange_answer> answer;
    bool answered = false;
  };

  bool WithProbability(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  milliseconds RandomDuration(std::int64_t low, std::int64_t high) {
    return milliseconds(
        std::uniform_int_distribution<std::int64_t>(low, high)(random_));
  }
  bool IsRunning(int entry) const { return At(entry).paused_until <= now_; }
  const entry_state& At(int entry) const {
    return entries_[static_cast<std::size_t>(entry)];
  }
  entry_state& At(int entry) {
    return entries_[static_cast<std::size_t>(entry)];
  }

  void Restart(int entry, base::time_point usable_from) {
    entry_state& state = At(entry);
    ++state.incarnation;
    state.router = std::make_unique<slot_router>(
        entry_position{entry, kEntryCount, {}}, options_, usable_from);
    state.router->Update(listed_, now_);
  }

  void InjectFaults() {
    const int entry = static_cast<int>(random_() % kEntryCount);
    if (WithProbability(0.002))
      At(entry).paused_until = now_ + RandomDuration(50, 3000);
    if (!WithProbability(0.002))
      return;
    for (running_request& request : running_) {
      if (request.entry != entry || !request.awaited)
        continue;
      request.awaited = false;
      request.end = std::min(request.end, now_ + options_.sharing.max_overrun);
    }
    Restart(entry, now_ + options_.sharing.ReclaimDelay());
  }

  void EndRequests() {
    for (running_request& request : running_) {
      if (!request.awaited || !IsRunning(request.entry))
        continue;
      const bool ended = request.end <= now_;
      if (!ended && now_ < request.deadline)
        continue;
      request.awaited = false;
      At(request.entry)
          .router->Release(
              request.ticket,
              ended ? slot_outcome::kAnswered : slot_outcome::kAbandoned, now_);
      // The upstream stops at most `max_overrun` after the entry has closed the
      // connection.
      request.end = std::min(request.end, now_ + options_.sharing.max_overrun);
    }
    std::erase_if(running_, [this](const running_request& request) {
      return !request.awaited && request.end <= now_;
    });
  }

  void RunEntry(int entry) {
    slot_router& router = *At(entry).router;
    const int wanted = static_cast<int>(random_() % 4);
    int waiting = 0;
    for (int i = 0; i < wanted; ++i) {
      const base::time_point deadline = now_ + kRequestTimeout;
      const auto ticket = router.Acquire({deadline, kStuckDuration}, now_);
      if (!ticket) {
        ++waiting;
        continue;
      }
      borrowed_requests_ += ticket->grant.number != 0 ? 1 : 0;
      const milliseconds work =
          WithProbability(0.02) ? kStuckDuration : RandomDuration(5, 120);
      // The upstream knows the deadline and stops by itself at most
      // `max_overrun` after it.
      const base::time_point end =
          std::min(now_ + work, deadline + options_.sharing.max_overrun);
      running_.push_back({entry, *ticket, end, deadline});
    }
    for (const coordination::instance& upstream : router.UpstreamsToProbe())
      router.RecordProbeAnswer(upstream.id, now_, now_);
    for (outgoing_exchange& sent : router.PlanExchanges(waiting, now_)) {
      messages_.push_back({now_ + RandomDuration(1, 60), entry,
                           At(entry).incarnation, std::move(sent)});
    }
  }

  void DeliverMessages() {
    std::vector<message> later;
    for (message& item : messages_) {
      const int receiver =
          item.answered ? item.sender : static_cast<int>(item.sent.lender);
      if (item.deliver_at > now_ || !IsRunning(receiver))
        later.push_back(std::move(item));
      else if (item.answered)
        DeliverAnswer(item);
      else
        later.push_back(DeliverRequest(std::move(item)));
    }
    messages_ = std::move(later);
  }

  message DeliverRequest(message item) {
    slot_router& lender = *At(static_cast<int>(item.sent.lender)).router;
    if (!WithProbability(0.05))
      item.answer = lender.HandleRequest(item.sent.request, 0, now_);
    // The answer is lost although the lender has acted on the request.
    if (WithProbability(0.05))
      item.answer.reset();
    item.answered = true;
    item.deliver_at = now_ + RandomDuration(1, 60);
    return item;
  }

  void DeliverAnswer(const message& item) {
    entry_state& to = At(item.sender);
    if (to.incarnation == item.incarnation)
      to.router->HandleAnswer(item.sent, item.answer, now_);
  }

  std::mt19937_64 random_;
  router_options options_;
  base::time_point now_{std::chrono::seconds(1000)};
  std::vector<coordination::instance> listed_;
  std::vector<entry_state> entries_ = std::vector<entry_state>(kEntryCount);
  std::vector<running_request> running_;
  std::vector<message> messages_;
  std::int64_t borrowed_requests_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(sharing_property_suite)

BOOST_AUTO_TEST_CASE(NoUpstreamIsOvercommittedDespiteLossDelayAndRestarts) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    sharing_simulation simulation(seed);
    int overcommitted = 0;
    for (int step = 0; step < kStepCount; ++step) {
      simulation.Step();
      overcommitted += simulation.CountOvercommittedUpstreams();
    }
    BOOST_TEST(overcommitted == 0, "seed " << seed);
    BOOST_TEST(simulation.borrowed_requests() > 100);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::routing
