#ifndef CHIVECRANK_RUNTIME_SUBMISSION_INTAKE_H_
#define CHIVECRANK_RUNTIME_SUBMISSION_INTAKE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/conditional_writer.h"
#include "chivecrank/runtime/instance_metrics.h"
#include "chivecrank/runtime/replica.h"
#include "chivecrank/runtime/submission_revoker.h"
#include "chivecrank/runtime/submission_service.h"
#include "chivecrank/runtime/unsettled_writes.h"

namespace chivecrank::runtime {

struct intake_settings {
  conditional_writer_settings writer{.name = "accept"};
  revoker_settings revoker;
  /// Retry delay that a rejected caller is given.
  std::chrono::milliseconds retry_after{1000};
  /// The same for a submission that is too large for every worker.
  std::chrono::milliseconds retry_too_large_after{60'000};
  /// Submissions with less time than this left until `give_up_at` are rejected
  /// at once.
  std::chrono::milliseconds min_time_left{40};
  /// How long the state of a submission is not told as unknown after a write
  /// for it ended without an answer; the store may carry it out seconds later.
  std::chrono::milliseconds late_write_horizon{10'000};
};

/// Accepts submissions and cancellations. Each is stored before it is
/// acknowledged, under the condition that its key doesn't exist, so a write
/// that is sent or applied twice takes effect once. A cancellation of what
/// isn't stored revokes the identifier, so that it isn't stored later either.
class submission_intake final : public submission_service {
 public:
  submission_intake(reactor::event_loop& loop,
                    base::clock& clock,
                    metadata::store& store,
                    const replica& shared,
                    event_log::event_log& log,
                    instance_metrics& metrics,
                    intake_settings settings,
                    std::function<bool()> is_store_responding);

  void Submit(submissions::submission offered,
              base::time_point give_up_at,
              std::function<void(submit_answer)> done) override;
  void State(const std::string& id,
             std::function<void(submission_state)> done) override;
  void Cancel(const std::string& id,
              base::time_point give_up_at,
              std::function<void(cancel_outcome)> done) override;
  std::int64_t CountQueued(const std::string& queue) const override;

 private:
  /// Submissions assigned to a shard since its owner last wrote its status.
  struct assigned_load {
    metadata::revision status_revision = 0;
    std::int64_t reserved_milli = 0;
  };

  /// Writes a submission that was found acceptable.
  void Store(submissions::submission accepted,
             base::time_point give_up_at,
             std::function<void(submit_answer)> done);
  /// The answer to a submission that was to be stored under `key`.
  submit_answer AnswerOf(const write_result& result,
                         std::string_view key) const;
  /// Cancels a submission that the replica doesn't know.
  void Revoke(const std::string& id,
              base::time_point give_up_at,
              std::function<void(cancel_outcome)> done);
  /// Cancels a submission that is stored.
  void StoreCancellation(const std::string& id,
                         base::time_point give_up_at,
                         std::function<void(cancel_outcome)> done);
  /// An error if no worker can ever run the submission.
  base::result<void> CheckSize(const submissions::submission& offered) const;
  /// Chooses the submission's shard and counts it there.
  std::uint32_t AssignShard(const submissions::submission& offered);
  bool IsStoreUnavailable() const;
  /// Logs, counts and delivers the outcome of a Cancel call.
  void AnswerCancel(const std::string& id,
                    cancel_outcome outcome,
                    const std::function<void(cancel_outcome)>& done);
  submission_state KnownState(const std::string& id,
                              const known_submission& known) const;
  void LookUp(const std::string& id,
              std::function<void(submission_state)> done);

  reactor::event_loop& loop_;
  base::clock& clock_;
  metadata::store& store_;
  const replica& shared_;
  event_log::event_log& log_;
  instance_metrics& metrics_;
  const intake_settings settings_;
  const std::function<bool()> is_store_responding_;
  conditional_writer writer_;
  submission_revoker revoker_;
  unsettled_writes unsettled_;
  std::map<std::uint32_t, assigned_load> assigned_since_status_;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SUBMISSION_INTAKE_H_
