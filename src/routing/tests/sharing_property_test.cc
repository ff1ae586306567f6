#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <set>

#include "chivecrank/routing/slot_router.h"

namespace chivecrank::routing {
namespace {

using std::chrono::milliseconds;

constexpr int kEntries = 5;
constexpr int kUpstreams = 6;
constexpr std::int64_t kSlots = 4;
constexpr milliseconds kStep{5};
constexpr milliseconds kDeadline{400};
constexpr milliseconds kStuck{60'000};
constexpr int kSteps = 12'000;

/// What one upstream works on for whom.
struct running_request {
  int entry = 0;
  slot_ticket ticket;
  base::time_point end;
  base::time_point deadline;
  /// The entry still waits for the answer.
  bool watched = true;
};

/// Entries that exchange slots while messages are lost or late, requests get
/// stuck, and entries pause, die and return.
class world {
 public:
  explicit world(std::uint64_t seed) : random_(seed) {
    options_.sharing.lease = milliseconds(200);
    options_.sharing.max_request_duration = milliseconds(400);
    options_.sharing.max_overrun = milliseconds(300);
    options_.sharing.clock_margin = milliseconds(20);
    // The shorter the pause, the more slots are lent.
    options_.sharing.ask_pause = milliseconds(10);
    for (int i = 0; i < kUpstreams; ++i) {
      coordination::instance upstream;
      upstream.id = "w-" + std::to_string(i);
      upstream.slots = kSlots;
      listed_.push_back(upstream);
    }
    for (int i = 0; i < kEntries; ++i)
      Restart(i, now_);
  }

  void Step() {
    now_ += kStep;
    Disturb();
    End();
    Deliver();
    for (int i = 0; i < kEntries; ++i) {
      if (IsUp(i))
        Act(i);
    }
  }

  /// Upstreams that work on more than their slots.
  int Overcommitted() const {
    std::map<std::string, std::int64_t> counts;
    for (const running_request& request : running_) {
      if (request.end > now_)
        ++counts[request.ticket.upstream.id];
    }
    return static_cast<int>(
        std::count_if(counts.begin(), counts.end(),
                      [](const auto& entry) { return entry.second > kSlots; }));
  }

  std::int64_t borrowed_requests() const { return borrowed_requests_; }

 private:
  struct entry_state {
    std::unique_ptr<slot_router> router;
    base::time_point paused_until;
    std::uint64_t life = 0;
  };
  struct message {
    base::time_point at;
    int from = 0;
    std::uint64_t life = 0;
    outgoing_exchange sent;
    std::optional<exchange_answer> answer;
    bool answered = false;
  };

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  milliseconds Between(std::int64_t low, std::int64_t high) {
    return milliseconds(
        std::uniform_int_distribution<std::int64_t>(low, high)(random_));
  }
  bool IsUp(int entry) const { return At(entry).paused_until <= now_; }
  const entry_state& At(int entry) const {
    return entries_[static_cast<std::size_t>(entry)];
  }
  entry_state& At(int entry) {
    return entries_[static_cast<std::size_t>(entry)];
  }

  void Restart(int entry, base::time_point usable_from) {
    entry_state& at = At(entry);
    ++at.life;
    at.router = std::make_unique<slot_router>(
        entry_position{entry, kEntries, {}}, options_, usable_from);
    at.router->Update(listed_, now_);
  }

  void Disturb() {
    const int entry = static_cast<int>(random_() % kEntries);
    if (Chance(0.002))
      At(entry).paused_until = now_ + Between(50, 3000);
    if (!Chance(0.002))
      return;
    for (running_request& request : running_) {
      if (request.entry != entry || !request.watched)
        continue;
      request.watched = false;
      request.end = std::min(request.end, now_ + options_.sharing.max_overrun);
    }
    Restart(entry, now_ + options_.sharing.ReclaimAfter());
  }

  void End() {
    for (running_request& request : running_) {
      if (!request.watched || !IsUp(request.entry))
        continue;
      const bool ended = request.end <= now_;
      if (!ended && now_ < request.deadline)
        continue;
      request.watched = false;
      At(request.entry)
          .router->Release(
              request.ticket,
              ended ? slot_outcome::kAnswered : slot_outcome::kAbandoned, now_);
      // The upstream stops soon after the entry has hung up.
      request.end = std::min(request.end, now_ + options_.sharing.max_overrun);
    }
    std::erase_if(running_, [this](const running_request& request) {
      return !request.watched && request.end <= now_;
    });
  }

  void Act(int entry) {
    slot_router& router = *At(entry).router;
    const int wanted = static_cast<int>(random_() % 4);
    int waiting = 0;
    for (int i = 0; i < wanted; ++i) {
      const base::time_point deadline = now_ + kDeadline;
      const auto ticket = router.Acquire({deadline, kStuck}, now_);
      if (!ticket) {
        ++waiting;
        continue;
      }
      borrowed_requests_ += ticket->grant.number != 0 ? 1 : 0;
      const milliseconds work = Chance(0.02) ? kStuck : Between(5, 120);
      // The upstream knows the deadline and stops soon after it by itself.
      const base::time_point end =
          std::min(now_ + work, deadline + options_.sharing.max_overrun);
      running_.push_back({entry, *ticket, end, deadline});
    }
    for (const coordination::instance& upstream : router.UpstreamsToProbe())
      router.RecordProbeAnswer(upstream.id, now_, now_);
    for (outgoing_exchange& sent : router.PlanExchanges(waiting, now_)) {
      messages_.push_back(
          {now_ + Between(1, 60), entry, At(entry).life, std::move(sent)});
    }
  }

  void Deliver() {
    std::vector<message> later;
    for (message& one : messages_) {
      const int receiver =
          one.answered ? one.from : static_cast<int>(one.sent.lender);
      if (one.at > now_ || !IsUp(receiver))
        later.push_back(std::move(one));
      else if (one.answered)
        Accept(one);
      else
        later.push_back(Answer(std::move(one)));
    }
    messages_ = std::move(later);
  }

  message Answer(message one) {
    slot_router& lender = *At(static_cast<int>(one.sent.lender)).router;
    if (!Chance(0.05))
      one.answer = lender.HandleRequest(one.sent.request, 0, now_);
    // The answer is lost, though the lender has acted.
    if (Chance(0.05))
      one.answer.reset();
    one.answered = true;
    one.at = now_ + Between(1, 60);
    return one;
  }

  void Accept(const message& one) {
    entry_state& to = At(one.from);
    if (to.life == one.life)
      to.router->HandleAnswer(one.sent, one.answer, now_);
  }

  std::mt19937_64 random_;
  router_options options_;
  base::time_point now_{std::chrono::seconds(1000)};
  std::vector<coordination::instance> listed_;
  std::vector<entry_state> entries_ = std::vector<entry_state>(kEntries);
  std::vector<running_request> running_;
  std::vector<message> messages_;
  std::int64_t borrowed_requests_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(sharing_property_suite)

BOOST_AUTO_TEST_CASE(NoSlotIsUsedTwiceWhateverIsLostOrLate) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    world all(seed);
    int overcommitted = 0;
    for (int step = 0; step < kSteps; ++step) {
      all.Step();
      overcommitted += all.Overcommitted();
    }
    BOOST_TEST(overcommitted == 0, "seed " << seed);
    BOOST_TEST(all.borrowed_requests() > 100);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::routing
