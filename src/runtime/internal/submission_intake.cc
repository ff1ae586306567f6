#include "chivecrank/runtime/submission_intake.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace chivecrank::runtime {
namespace {

/// Answers in the metrics, by submit_outcome.
constexpr std::array<std::string_view, 3> kSubmitAnswers = {
    "accepted", "rejected", "unknown"};
/// Log events, by submit_outcome.
constexpr std::array<std::string_view, 3> kSubmitEvents = {
    "submission_accepted", "submission_rejected", "submission_in_doubt"};
/// Reasons in the log, by write_outcome.
constexpr std::array<std::string_view, 4> kWriteReasons = {
    "stored", "key_exists", "store_away", "no_answer"};
/// Log events, by cancel_outcome.
constexpr std::array<std::string_view, 4> kCancelEvents = {
    "cancel_accepted", "cancel_unknown", "cancel_failed", "cancel_in_doubt"};

cancel_outcome CancelOutcomeOf(write_outcome written) {
  switch (written) {
    case write_outcome::kWritten:
    case write_outcome::kKeyExists:
      return cancel_outcome::kCancelled;
    case write_outcome::kNotWritten:
      return cancel_outcome::kUnavailable;
    case write_outcome::kUnknown:
      break;
  }
  return cancel_outcome::kOutcomeUnknown;
}

base::error Revoked() {
  return {base::error_kind::kConflict,
          "the submission was cancelled before it was accepted",
          "submit the work with another identifier"};
}

}  // namespace

submission_intake::submission_intake(reactor::event_loop& loop,
                                     base::clock& clock,
                                     metadata::store& store,
                                     const replica& shared,
                                     event_log::event_log& log,
                                     instance_metrics& metrics,
                                     intake_settings settings,
                                     std::function<bool()> is_store_responding)
    : loop_(loop),
      clock_(clock),
      store_(store),
      shared_(shared),
      log_(log),
      metrics_(metrics),
      settings_(settings),
      is_store_responding_(std::move(is_store_responding)),
      writer_(loop, store, log, settings.writer, {}),
      revoker_(loop, store, log, settings.revoker),
      unsettled_(settings.late_write_horizon),
      guard_(loop) {}

void submission_intake::Submit(submissions::submission offered,
                               base::time_point give_up_at,
                               std::function<void(submit_answer)> done) {
  const auto known = shared_.Find(offered.id);
  if (known != nullptr)
    return done({submit_outcome::kAccepted});
  const bool too_late = give_up_at - loop_.Now() < settings_.min_time_left;
  if (IsStoreUnavailable() || shared_.ShardCount() == 0 || too_late) {
    metrics_.OnSubmitAnswer("rejected", {});
    log_.Write("submission_rejected",
               {{"submission", offered.id},
                {"queue", offered.queue},
                {"reason", too_late ? "no_time" : "store_away"}});
    return done({submit_outcome::kRejected, settings_.retry_after});
  }
  if (const auto checked = CheckSize(offered); !checked) {
    metrics_.OnSubmitAnswer("rejected", {});
    log_.Write("submission_rejected", {{"submission", offered.id},
                                       {"queue", offered.queue},
                                       {"reason", "too_large"},
                                       {"error", checked.error().message}});
    return done({submit_outcome::kRejected, settings_.retry_too_large_after,
                 checked.error()});
  }
  offered.shard = AssignShard(offered);
  offered.accepted_since_epoch =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          clock_.WallNow().time_since_epoch());
  Store(std::move(offered), give_up_at, std::move(done));
}

void submission_intake::Store(submissions::submission accepted,
                              base::time_point give_up_at,
                              std::function<void(submit_answer)> done) {
  const std::string key = ToString({key_kind::kSubmission, accepted.id});
  unsettled_.Begin(accepted.id);
  writer_.Write(
      {.write = {key, EncodeAccepted(accepted)},
       .absent_keys = {key, RevocationKey(accepted.id)},
       .give_up_at = give_up_at,
       .done = [this, key, since = loop_.Now(), id = accepted.id,
                queue = accepted.queue, shard = accepted.shard,
                done = std::move(done)](const write_result& result) {
         unsettled_.End(id, result.outcome, loop_.Now());
         const submit_answer answer = AnswerOf(result, key);
         const auto index = static_cast<std::size_t>(answer.verdict);
         metrics_.OnSubmitAnswer(kSubmitAnswers.at(index), loop_.Now() - since);
         log_.Write(
             kSubmitEvents.at(index),
             {{"submission", id},
              {"queue", queue},
              {"shard", shard},
              {"reason",
               kWriteReasons.at(static_cast<std::size_t>(result.outcome))}});
         done(answer);
       }});
}

submit_answer submission_intake::AnswerOf(const write_result& result,
                                          std::string_view key) const {
  switch (result.outcome) {
    case write_outcome::kWritten:
      return {submit_outcome::kAccepted};
    case write_outcome::kKeyExists:
      // A submission that exists was stored by an earlier attempt.
      if (result.existing_key == key)
        return {submit_outcome::kAccepted};
      // A revocation ends with its lease at the latest.
      return {submit_outcome::kRejected, settings_.revoker.lease_term,
              Revoked()};
    case write_outcome::kNotWritten:
      return {submit_outcome::kRejected, settings_.retry_after};
    case write_outcome::kUnknown:
      break;
  }
  return {submit_outcome::kOutcomeUnknown};
}

void submission_intake::State(const std::string& id,
                              std::function<void(submission_state)> done) {
  const known_submission* known = shared_.Find(id);
  if (known != nullptr)
    return done(KnownState(id, *known));
  LookUp(id, std::move(done));
}

void submission_intake::Cancel(const std::string& id,
                               base::time_point give_up_at,
                               std::function<void(cancel_outcome)> done) {
  const known_submission* known = shared_.Find(id);
  if (known == nullptr)
    return Revoke(id, give_up_at, std::move(done));
  if (known->Ended())
    return AnswerCancel(id, cancel_outcome::kCancelled, done);
  StoreCancellation(id, give_up_at, std::move(done));
}

void submission_intake::Revoke(const std::string& id,
                               base::time_point give_up_at,
                               std::function<void(cancel_outcome)> done) {
  revoker_.Revoke(
      id, give_up_at,
      [this, id, give_up_at, done = std::move(done)](revoke_outcome outcome) {
        switch (outcome) {
          case revoke_outcome::kRevoked:
            unsettled_.Settle(id);
            return AnswerCancel(id, cancel_outcome::kUnknownSubmission, done);
          case revoke_outcome::kStored:
            // The replica has not received it yet.
            return StoreCancellation(id, give_up_at, done);
          case revoke_outcome::kUnavailable:
            return AnswerCancel(id, cancel_outcome::kUnavailable, done);
          case revoke_outcome::kOutcomeUnknown:
            return AnswerCancel(id, cancel_outcome::kOutcomeUnknown, done);
        }
      });
}

void submission_intake::StoreCancellation(
    const std::string& id,
    base::time_point give_up_at,
    std::function<void(cancel_outcome)> done) {
  const std::string key = ToString({key_kind::kCancellation, id});
  writer_.Write(
      {.write = {key, "1"},
       .absent_keys = {key},
       .give_up_at = give_up_at,
       .done = [this, id, done = std::move(done)](const write_result& result) {
         AnswerCancel(id, CancelOutcomeOf(result.outcome), done);
       }});
}

void submission_intake::AnswerCancel(
    const std::string& id,
    cancel_outcome outcome,
    const std::function<void(cancel_outcome)>& done) {
  log_.Write(kCancelEvents.at(static_cast<std::size_t>(outcome)),
             {{"submission", id}});
  metrics_.OnCancelAnswer(CancelOutcomeName(outcome));
  done(outcome);
}

std::int64_t submission_intake::CountQueued(const std::string& queue) const {
  return shared_.CountQueued(queue);
}

base::result<void> submission_intake::CheckSize(
    const submissions::submission& offered) const {
  const auto sizes = shared_.SizesFor(offered.policy.service);
  return sizes ? sizes->Check(offered) : base::Success();
}

std::uint32_t submission_intake::AssignShard(
    const submissions::submission& offered) {
  std::map<std::uint32_t, shard_room> rooms;
  for (const auto& [shard, status] : shared_.Statuses()) {
    assigned_load& assigned = assigned_since_status_[shard];
    if (assigned.status_revision != status.written_revision)
      assigned = {status.written_revision, 0};
    shard_room& room = rooms[shard];
    room = RoomOf(status);
    room.assigned_milli = assigned.reserved_milli;
  }
  const std::uint32_t chosen =
      ChooseShard(rooms, shared_.ShardCount(), offered,
                  HashNames(offered.id, "shard of submission"));
  assigned_since_status_[chosen].reserved_milli +=
      submissions::ReservedMilli(offered);
  return chosen;
}

bool submission_intake::IsStoreUnavailable() const {
  return writer_.FailedRecently() || !is_store_responding_();
}

submission_state submission_intake::KnownState(
    const std::string& id,
    const known_submission& known) const {
  if (known.outcome) {
    switch (*known.outcome) {
      case submissions::submission_outcome::kCompleted:
        return submission_state::kCompleted;
      case submissions::submission_outcome::kFailed:
        return submission_state::kFailed;
      case submissions::submission_outcome::kCancelled:
        return submission_state::kCancelled;
    }
  }
  if (known.cancelled)
    return submission_state::kCancelled;
  return shared_.HasStarted(id, known) ? submission_state::kRunning
                                       : submission_state::kQueued;
}

void submission_intake::LookUp(const std::string& id,
                               std::function<void(submission_state)> done) {
  store_.Get(
      ToString({key_kind::kSubmission, id}),
      guard_.Wrap([this, id,
                   was_unsettled = unsettled_.Contains(id, loop_.Now()),
                   done = std::move(done)](
                      base::result<std::optional<metadata::item>> found) {
        if (!found)
          return done(submission_state::kUnavailable);
        if (found.value())
          return done(submission_state::kQueued);
        const bool may_be_stored =
            was_unsettled || unsettled_.Contains(id, loop_.Now());
        done(may_be_stored ? submission_state::kUnavailable
                           : submission_state::kUnknown);
      }));
}

}  // namespace chivecrank::runtime
