#include "chivecrank/entries/slot_exchanger.h"

#include <glog/logging.h>

#include <utility>

namespace chivecrank::entries {
namespace {

/// Longest time between two planning rounds.
constexpr std::chrono::milliseconds kMaxPlanningInterval{20};
/// Shortest time between two planning rounds.
constexpr std::chrono::milliseconds kMinPlanningInterval{2};

}  // namespace

/// Connection to one peer, with its thread and its message to be sent.
class slot_exchanger::peer_link {
 public:
  peer_link(slot_pool& pool,
            const settings::endpoint& address,
            std::chrono::milliseconds timeout)
      : pool_(pool), address_(address), client_(address, timeout) {}

  ~peer_link() { Stop(); }

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  void Stop() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_one();
    if (thread_.joinable())
      thread_.join();
  }

  /// Passes a message to the thread. The router plans at most one message at a
  /// time for each peer, so none is overwritten.
  void Post(routing::outgoing_exchange message) {
    std::lock_guard lock(mutex_);
    message_ = std::move(message);
    changed_.notify_one();
  }

 private:
  void Run() {
    while (const auto message = WaitForMessage()) {
      const auto answer = client_.Exchange(message->request);
      if (answer.has_value() == failing_)
        LogTransition(answer);
      pool_.HandleAnswer(*message, answer.has_value()
                                       ? std::optional(answer.value())
                                       : std::nullopt);
    }
  }

  std::optional<routing::outgoing_exchange> WaitForMessage() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || message_; });
    if (stopping_)
      return std::nullopt;
    return std::exchange(message_, std::nullopt);
  }

  void LogTransition(const base::result<routing::exchange_answer>& answer) {
    failing_ = !answer.has_value();
    if (failing_)
      LOG(WARNING) << "entry: " << base::Describe(answer.error()) << ".";
    else
      LOG(INFO) << "entry: " << settings::ToString(address_)
                << " answers again.";
  }

  slot_pool& pool_;
  const settings::endpoint address_;
  entry_client client_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<routing::outgoing_exchange> message_;
  bool stopping_ = false;
  bool failing_ = false;
  std::thread thread_;
};

slot_exchanger::slot_exchanger(base::clock& clock,
                               slot_pool& pool,
                               const std::vector<settings::endpoint>& peers,
                               std::int64_t own_index,
                               std::chrono::milliseconds timeout)
    : clock_(clock), pool_(pool) {
  for (std::int64_t index = 0; index < std::ssize(peers); ++index) {
    if (index == own_index)
      continue;
    links_[index] = std::make_unique<peer_link>(
        pool, peers[static_cast<std::size_t>(index)], timeout);
  }
}

slot_exchanger::~slot_exchanger() {
  Stop();
}

void slot_exchanger::Start() {
  for (auto& [index, link] : links_)
    link->Start();
  thread_ = std::thread([this] { RunPlanning(); });
}

void slot_exchanger::Stop() {
  stopping_ = true;
  if (thread_.joinable())
    thread_.join();
  for (auto& [index, link] : links_)
    link->Stop();
}

void slot_exchanger::RunPlanning() {
  while (!stopping_) {
    const base::time_point next = clock_.Now() + kMinPlanningInterval;
    for (routing::outgoing_exchange& message : pool_.PlanExchanges()) {
      const std::int64_t lender = message.lender;
      links_.at(lender)->Post(std::move(message));
    }
    pool_.WaitForShortage(kMaxPlanningInterval);
    clock_.SleepUntil(next);
  }
}

}  // namespace chivecrank::entries
