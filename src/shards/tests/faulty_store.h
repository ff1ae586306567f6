#ifndef CHIVECRANK_SHARDS_TESTS_FAULTY_STORE_H_
#define CHIVECRANK_SHARDS_TESTS_FAULTY_STORE_H_

#include <random>
#include <utility>
#include <vector>

#include "chivecrank/coordination/store.h"

namespace chivecrank::shards {

/// Probabilities of faults per call.
struct store_faults {
  /// Calls rejected without effect.
  double unavailable = 0;
  /// Writes that take effect although their response is lost.
  double lost_answers = 0;
  /// Writes whose response is lost and that take effect before a later write.
  double late_writes = 0;
};

/// Forwards calls to a store and injects faults at random.
class faulty_store final : public coordination::store {
 public:
  faulty_store(coordination::store& real, std::mt19937_64& random)
      : real_(real), random_(random) {}

  void SetFaults(store_faults faults) { faults_ = faults; }

  base::result<std::optional<coordination::store_entry>> Get(
      coordination::call_class purpose,
      const std::string& key) override {
    if (DrawFault(faults_.unavailable))
      return Unavailable();
    return real_.Get(purpose, key);
  }
  base::result<coordination::version> Put(
      coordination::call_class purpose,
      const coordination::put_request& write) override {
    ++puts_;
    ApplyLateWrites();
    if (DrawFault(faults_.unavailable))
      return Unavailable();
    if (DrawFault(faults_.late_writes)) {
      late_writes_.emplace_back(purpose, write);
      return Unknown();
    }
    auto written = real_.Put(purpose, write);
    if (DrawFault(faults_.lost_answers))
      return Unknown();
    return written;
  }
  base::result<void> Delete(coordination::call_class purpose,
                            const std::string& key,
                            coordination::version expected) override {
    if (DrawFault(faults_.unavailable))
      return Unavailable();
    return real_.Delete(purpose, key, expected);
  }
  base::result<coordination::store_listing> List(
      coordination::call_class purpose,
      const std::string& prefix) override {
    if (DrawFault(faults_.unavailable))
      return Unavailable();
    return real_.List(purpose, prefix);
  }
  base::result<coordination::watch_answer> Watch(
      const coordination::watch_request& request) override {
    return real_.Watch(request);
  }
  base::result<coordination::lease_id> GrantLease(
      std::chrono::milliseconds term) override {
    if (DrawFault(faults_.unavailable))
      return Unavailable();
    return real_.GrantLease(term);
  }
  base::result<void> RenewLease(coordination::lease_id lease) override {
    if (DrawFault(faults_.unavailable))
      return Unavailable();
    return real_.RenewLease(lease);
  }
  base::result<void> RevokeLease(coordination::lease_id lease) override {
    return real_.RevokeLease(lease);
  }

  /// Number of Put calls.
  int puts() const { return puts_; }

 private:
  bool DrawFault(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  void ApplyLateWrites() {
    // Delay them further with probability 0.5, so that some take effect after a
    // takeover.
    if (late_writes_.empty() || DrawFault(0.5))
      return;
    for (const auto& [purpose, write] : std::exchange(late_writes_, {}))
      static_cast<void>(real_.Put(purpose, write));
  }
  static base::error Unavailable() {
    return {base::error_kind::kUnavailable, "the store is down", "wait"};
  }
  static base::error Unknown() {
    return {base::error_kind::kOutcomeUnknown, "the answer was lost",
            "read back"};
  }

  coordination::store& real_;
  std::mt19937_64& random_;
  store_faults faults_;
  int puts_ = 0;
  std::vector<std::pair<coordination::call_class, coordination::put_request>>
      late_writes_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_TESTS_FAULTY_STORE_H_
