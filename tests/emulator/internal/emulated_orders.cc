#include <algorithm>
#include <utility>

#include "chivecrank/emulator/emulated_workers.h"
#include "internal/emulated_worker_state.h"

namespace chivecrank::emulator {
namespace {

constexpr std::chrono::milliseconds kOneWay{1};
constexpr std::chrono::milliseconds kOrderTimeout{1000};
constexpr std::chrono::milliseconds kLookSlack{700};
/// How much later orders are carried out that come late.
constexpr std::chrono::milliseconds kLateBy{4000};

base::error NoAnswer(base::error_kind kind) {
  return {kind, "the worker does not answer", "look again later"};
}

}  // namespace

/// The orders as one instance gives them.
class emulated_orders final : public submissions::worker_gateway {
 public:
  emulated_orders(emulated_workers& shared, emulated_processor& processor)
      : shared_(shared), processor_(processor) {}

  void Poll(const submissions::worker_description& worker,
            const submissions::poll_request& request,
            std::function<void(base::result<submissions::worker_report>)> done)
      override {
    ++shared_.counts_.looks;
    const base::time_point lease_end = LeaseEnd(request.header);
    Later(kOneWay, [this, id = worker.id, address = worker.address, request,
                    lease_end, done] {
      if (AnotherAnswersAt(address, id))
        return Answer(kOneWay,
                      [done] { done(NoAnswer(base::error_kind::kNotFound)); });
      auto* state = ReachableAt(address, id);
      if (state == nullptr)
        return Answer(IsDown(id) ? kOneWay : request.wait + kLookSlack, [done] {
          done(NoAnswer(base::error_kind::kUnavailable));
        });
      if (request.header.fence < state->fence)
        return Answer(kOneWay,
                      [done] { done(NoAnswer(base::error_kind::kFenced)); });
      const bool is_meant = IsMeant(*state, request.header);
      Renew(*state, request.header, is_meant ? lease_end : base::time_point());
      std::erase_if(state->ended, [&](const submissions::reported_end& end) {
        const bool forgotten =
            is_meant && end.number <= request.acknowledged_end;
        if (forgotten && end.outcome == submissions::run_outcome::kDone)
          shared_.acknowledged_done_.insert(end.task);
        return forgotten;
      });
      auto answered = std::make_shared<bool>(false);
      const auto answer = [this, id, done, answered] {
        if (std::exchange(*answered, true))
          return;
        auto* now = Reachable(id);
        if (now == nullptr)
          return Answer(IsDown(id) ? kOneWay : kLookSlack, [done] {
            done(NoAnswer(base::error_kind::kOutcomeUnknown));
          });
        const auto report = shared_.Report(*now);
        const std::size_t items =
            report.value().running.size() + report.value().ended.size();
        Answer(
            kOneWay, [done, report] { done(report); }, items);
      };
      if (!state->ended.empty() || request.wait.count() == 0)
        return answer();
      state->held_looks.push_back(answer);
      Later(request.wait, answer);
    });
  }

  void Start(const submissions::worker_description& worker,
             const submissions::start_command& command,
             const submissions::command_header& terms,
             std::function<void(submissions::start_outcome)> done) override {
    const base::time_point lease_end = LeaseEnd(terms);
    const double dice = Dice();
    Later(kOneWay, [this, id = worker.id, address = worker.address, command,
                    terms, given_at = shared_.loop_.Now(), lease_end, done,
                    dice] {
      if (AnotherAnswersAt(address, id))
        return Answer(kOneWay, [done] {
          done(submissions::start_outcome::kOtherIncarnation);
        });
      auto* state = ReachableAt(address, id);
      if (state == nullptr)
        return Answer(kOrderTimeout,
                      [done] { done(submissions::start_outcome::kNotSent); });
      if (dice < state->faults.late_share) {
        Later(kLateBy, [this, id, command, terms, given_at, lease_end,
                        life = state->description.started_at_ms] {
          auto* later = Reachable(id);
          // A worker that started anew holds nothing of before.
          if (later != nullptr && later->description.started_at_ms == life)
            shared_.Start(*later, command, terms, given_at, lease_end);
        });
        return Answer(kOrderTimeout,
                      [done] { done(submissions::start_outcome::kUnknown); });
      }
      const auto answer =
          shared_.Start(*state, command, terms, given_at, lease_end);
      if (dice < state->faults.late_share + state->faults.lost_share)
        return Answer(kOrderTimeout,
                      [done] { done(submissions::start_outcome::kUnknown); });
      Answer(kOneWay, [done, answer] { done(answer); });
    });
  }

  void Stop(const submissions::worker_description& worker,
            const submissions::stop_command& command,
            const submissions::command_header& terms,
            std::function<void(bool)> done) override {
    Carry(worker.id, terms, std::move(done), [this, command](auto& state) {
      return shared_.Stop(state, command);
    });
  }

  void Throttle(const submissions::worker_description& worker,
                const submissions::throttle_command& command,
                const submissions::command_header& terms,
                std::function<void(bool)> done) override {
    Carry(worker.id, terms, std::move(done), [command](auto& state) {
      const auto found = state.runs.find(command.task);
      const bool known =
          found != state.runs.end() && found->second.run == command.run;
      if (known)
        found->second.percent_limit = command.percent;
      return known;
    });
  }

  void Disconnect(const std::string&) override {}

 private:
  /// Takes an order to the worker, which carries it out unless it follows a
  /// newer owner, and tells whether it did.
  void Carry(const std::string& id,
             const submissions::command_header& terms,
             std::function<void(bool)> done,
             std::function<bool(emulated_workers::worker_state&)> order) {
    Later(kOneWay,
          [this, id, terms, done = std::move(done), order = std::move(order)] {
            auto* state = Reachable(id);
            if (state == nullptr)
              return Answer(kOrderTimeout, [done] { done(false); });
            const bool confirmed = terms.fence >= state->fence && order(*state);
            Answer(kOneWay, [done, confirmed] { done(confirmed); });
          });
  }

  /// The worker, if it answers at this address.
  emulated_workers::worker_state* ReachableAt(const settings::endpoint& address,
                                              const std::string& id) {
    auto* state = Reachable(id);
    const bool found = state && state->description.address == address;
    return found ? state : nullptr;
  }

  /// Whether the worker's host rejects connections: it is reached, and no
  /// worker runs there.
  bool IsDown(const std::string& id) {
    const auto found = shared_.workers_.find(id);
    return found != shared_.workers_.end() && found->second->faults.crashed &&
           !found->second->faults.cut_off;
  }

  bool AnotherAnswersAt(const settings::endpoint& address,
                        const std::string& id) {
    return std::ranges::any_of(shared_.workers_, [&](const auto& entry) {
      return entry.first != id && ReachableAt(address, entry.first) != nullptr;
    });
  }

  emulated_workers::worker_state* Reachable(const std::string& id) {
    const auto found = shared_.workers_.find(id);
    if (found == shared_.workers_.end() || found->second->faults.cut_off ||
        found->second->faults.crashed)
      return nullptr;
    return found->second.get();
  }

  base::time_point LeaseEnd(const submissions::command_header& terms) const {
    if (terms.lease.count() == 0)
      return {};
    return shared_.loop_.Now() + terms.lease;
  }

  /// Whether leases and acknowledgements are for the incarnation that gets
  /// them.
  static bool IsMeant(const emulated_workers::worker_state& worker,
                      const submissions::command_header& terms) {
    return worker.description.started_at_ms == terms.incarnation;
  }

  static void Renew(emulated_workers::worker_state& worker,
                    const submissions::command_header& terms,
                    base::time_point lease_end) {
    worker.fence = std::max(worker.fence, terms.fence);
    worker.lease_end = std::max(worker.lease_end, lease_end);
  }

  double Dice() {
    std::uniform_real_distribution<double> share(0, 1);
    return share(shared_.random_);
  }

  void Later(std::chrono::milliseconds delay, std::function<void()> step) {
    shared_.loop_.After(delay, std::move(step));
  }

  /// Delivers an answer of so many items to the instance `delay` from now.
  void Answer(std::chrono::milliseconds delay,
              std::function<void()> step,
              std::size_t items = 0) {
    processor_.DeliverAfter(shared_.loop_, delay, items, std::move(step));
  }

  emulated_workers& shared_;
  emulated_processor& processor_;
};

std::unique_ptr<submissions::worker_gateway> emulated_workers::OrdersFor(
    emulated_processor& processor) {
  return std::make_unique<emulated_orders>(*this, processor);
}

}  // namespace chivecrank::emulator
