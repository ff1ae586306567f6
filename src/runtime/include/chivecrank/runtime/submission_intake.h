#ifndef CHIVECRANK_RUNTIME_SUBMISSION_INTAKE_H_
#define CHIVECRANK_RUNTIME_SUBMISSION_INTAKE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/instance_metrics.h"
#include "chivecrank/runtime/replica.h"
#include "chivecrank/runtime/submission_service.h"

namespace chivecrank::runtime {

struct intake_settings {
  /// Writes to the store that may be on their way at once.
  std::size_t writes_in_flight = 2;
  /// Time before a write whose outcome is unknown is sent again.
  std::chrono::milliseconds retry{120};
  /// When a rejected caller may come again.
  std::chrono::milliseconds retry_after{1000};
  /// A caller that waits for less is rejected at once.
  std::chrono::milliseconds least_patience{40};
  /// How long a failed write makes others be rejected at once.
  std::chrono::milliseconds store_pause{300};
};

/// Takes submissions and cancellations in: each is stored before it is
/// acknowledged, several in one write. A write is conditional, so that one that
/// is sent or carried out twice counts once.
class submission_intake final : public submission_service {
 public:
  submission_intake(reactor::event_loop& loop,
                    base::clock& clock,
                    metadata::store& store,
                    const replica& shared,
                    event_log::event_log& log,
                    instance_metrics& metrics,
                    intake_settings settings,
                    std::function<bool()> store_answers);

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
  /// One key that is to be created, for a submission or a cancellation.
  struct pending_write {
    metadata::write write;
    std::string submission;
    base::time_point give_up_at;
    /// It was part of a write to the store.
    bool sent = false;
    /// A write that carried it may have been done, or may still be.
    bool in_doubt = false;
    /// Gets whether the key is stored: yes, no, or not known.
    std::function<void(submit_outcome)> done;
    bool answered = false;
  };
  /// What was sent to a shard since its owner wrote its status.
  struct sent_to_shard {
    metadata::revision status_at = 0;
    std::int64_t reserved_milli = 0;
  };
  using pending = std::shared_ptr<pending_write>;
  using group = std::vector<pending>;

  void Enqueue(pending added);
  void SendNext();
  void Send(group sent);
  void OnCommit(const group& sent,
                base::result<metadata::commit_answer> answer);
  void OnFailure(const group& sent, const base::error& failure);
  void OnConflict(const group& sent, const metadata::commit_answer& answer);
  void Answer(pending_write& written, submit_outcome verdict);
  void GiveUp(pending_write& written);
  std::uint32_t ChooseShard(const submissions::submission& offered);
  std::int64_t RoomOf(std::uint32_t shard, const shard_status& status);
  bool StoreIsAway() const;
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
  const std::function<bool()> store_answers_;
  std::deque<pending> waiting_;
  std::size_t in_flight_ = 0;
  base::time_point store_away_until_;
  std::map<std::uint32_t, sent_to_shard> sent_since_status_;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SUBMISSION_INTAKE_H_
