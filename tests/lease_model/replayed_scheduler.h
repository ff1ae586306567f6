#ifndef CHIVECRANK_TESTS_LEASE_MODEL_REPLAYED_SCHEDULER_H_
#define CHIVECRANK_TESTS_LEASE_MODEL_REPLAYED_SCHEDULER_H_

#include <functional>
#include <memory>

#include "chivecrank/submissions/shard_scheduler.h"

namespace chivecrank::lease_model {

/// The product's scheduler as a value: a copy that changes makes all calls
/// again on a scheduler of its own.
class replayed_scheduler {
 public:
  explicit replayed_scheduler(const submissions::scheduler_settings& settings)
      : settings_(settings) {}

  /// Makes a call, now and whenever the scheduler is built again. It must hold
  /// all that it needs by value.
  template <class Call>
  auto Apply(const Call& call) {
    submissions::shard_scheduler& scheduler = Exclusive();
    calls_ = std::make_shared<recorded_call>(recorded_call{
        [call](submissions::shard_scheduler& again) { call(again); }, calls_});
    return call(scheduler);
  }
  const submissions::shard_scheduler& Get() const;
  /// Frees the scheduler until it is needed again.
  void Discard() { scheduler_.reset(); }

 private:
  struct recorded_call {
    std::function<void(submissions::shard_scheduler&)> call;
    std::shared_ptr<const recorded_call> previous;
  };

  submissions::shard_scheduler& Exclusive();
  std::shared_ptr<submissions::shard_scheduler> Build() const;

  submissions::scheduler_settings settings_;
  std::shared_ptr<const recorded_call> calls_;
  mutable std::shared_ptr<submissions::shard_scheduler> scheduler_;
};

}  // namespace chivecrank::lease_model

#endif  // CHIVECRANK_TESTS_LEASE_MODEL_REPLAYED_SCHEDULER_H_
