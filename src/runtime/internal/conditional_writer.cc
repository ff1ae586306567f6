#include "chivecrank/runtime/conditional_writer.h"

#include <algorithm>
#include <utility>

namespace chivecrank::runtime {
namespace {

/// A condition and a write in the transaction.
constexpr std::size_t kMinEntriesPerWrite = 2;
constexpr std::size_t kMaxWritesPerTransaction =
    metadata::kMaxTransactionEntries / kMinEntriesPerWrite;

bool HasNoEffect(base::error_kind kind) {
  return kind == base::error_kind::kUnavailable ||
         kind == base::error_kind::kResourceExhausted ||
         kind == base::error_kind::kNotFound;
}

}  // namespace

conditional_writer::conditional_writer(reactor::event_loop& loop,
                                       metadata::store& store,
                                       event_log::event_log& log,
                                       conditional_writer_settings settings,
                                       hooks handlers)
    : loop_(loop),
      store_(store),
      log_(log),
      settings_(settings),
      hooks_(std::move(handlers)),
      guard_(loop) {}

void conditional_writer::Write(conditional_write what) {
  if (!CanBeSentBefore(what.give_up_at))
    return what.done({write_outcome::kNotWritten, {}});
  auto added = std::make_shared<pending_write>();
  added->what = std::move(what);
  guard_.Later(added->what.give_up_at - loop_.Now(),
               [this, added] { Expire(*added); });
  queued_.push_back(std::move(added));
  SendNext();
}

void conditional_writer::RejectUnsent() {
  for (const pending& written : std::exchange(queued_, {}))
    if (written->sent)
      queued_.push_back(written);
    else
      Complete(*written, {write_outcome::kNotWritten, {}});
}

bool conditional_writer::FailedRecently() const {
  return loop_.Now() < failed_until_;
}

bool conditional_writer::CanBeSentBefore(base::time_point deadline) const {
  const auto turns = static_cast<std::chrono::milliseconds::rep>(
      queued_.size() / kMaxWritesPerTransaction);
  return std::max(loop_.Now(), next_send_at_) + turns * settings_.min_interval <
         deadline;
}

void conditional_writer::SendNext() {
  while (in_flight_ < settings_.max_in_flight) {
    DropCompleted();
    if (queued_.empty())
      return;
    if (loop_.Now() < next_send_at_)
      return SendAt(next_send_at_);
    const auto lease = hooks_.lease();
    if (!lease)
      return;
    ++in_flight_;
    next_send_at_ = loop_.Now() + settings_.min_interval;
    Send(TakeGroup(), *lease);
  }
}

void conditional_writer::SendAt(base::time_point due) {
  if (std::exchange(send_scheduled_, true))
    return;
  guard_.Later(due - loop_.Now(), [this] {
    send_scheduled_ = false;
    SendNext();
  });
}

conditional_writer::group conditional_writer::TakeGroup() {
  group taken;
  std::size_t entries = 0;
  for (DropCompleted(); !queued_.empty(); DropCompleted()) {
    entries += queued_.front()->Entries();
    if (entries > metadata::kMaxTransactionEntries)
      break;
    taken.push_back(std::move(queued_.front()));
    queued_.pop_front();
  }
  return taken;
}

void conditional_writer::DropCompleted() {
  while (!queued_.empty() && queued_.front()->completed)
    queued_.pop_front();
}

void conditional_writer::Send(group sent, metadata::lease_id lease) {
  metadata::transaction changes;
  for (const pending& written : sent) {
    written->sent = true;
    for (const std::string& key : written->what.absent_keys)
      changes.conditions.push_back({key, 0});
    changes.writes.push_back(written->what.write);
    changes.writes.back().lease = lease;
  }
  store_.Commit(std::move(changes),
                guard_.Wrap([this, sent = std::move(sent)](
                                base::result<metadata::commit_answer> answer) {
                  --in_flight_;
                  OnAnswer(sent, std::move(answer));
                  SendNext();
                }));
}

void conditional_writer::OnAnswer(
    const group& sent,
    base::result<metadata::commit_answer> answer) {
  if (!answer)
    return OnFailure(sent, answer.error());
  failed_until_ = {};
  if (!answer.value().applied)
    return OnConflict(sent, answer.value());
  for (const pending& written : sent)
    Complete(*written, {write_outcome::kWritten, {}});
}

void conditional_writer::OnFailure(const group& sent,
                                   const base::error& failure) {
  log_.Write("store_write_failed", {{"call", settings_.name},
                                    {"keys", sent.size()},
                                    {"error", failure.message}});
  const bool lease_ended = failure.kind == base::error_kind::kNotFound;
  if (lease_ended)
    hooks_.on_lease_ended();
  else
    failed_until_ = loop_.Now() + settings_.failure_backoff;
  group again;
  for (const pending& written : sent) {
    if (!HasNoEffect(failure.kind))
      written->may_be_stored = true;
    if (written->may_be_stored || lease_ended)
      again.push_back(written);
    else
      Complete(*written, {write_outcome::kNotWritten, {}});
  }
  if (again.empty())
    return;
  // Send writes that may have been applied again: the conditions tell whether
  // they were.
  guard_.Later(settings_.retry, [this, again] {
    for (const pending& written : again)
      SendAgain(written);
    SendNext();
  });
}

void conditional_writer::OnConflict(const group& sent,
                                    const metadata::commit_answer& answer) {
  // One of them didn't hold; the others are sent again.
  for (const pending& written : sent) {
    const auto existing = std::ranges::find_if(
        written->what.absent_keys, [&](const std::string& key) {
          const metadata::item* item = answer.Current(key);
          return item != nullptr && item->changed_at > 0;
        });
    if (existing != written->what.absent_keys.end())
      Complete(*written, {write_outcome::kKeyExists, *existing});
    else
      SendAgain(written);
  }
}

void conditional_writer::SendAgain(const pending& written) {
  if (written->completed)
    return;
  written->sent = written->may_be_stored;
  queued_.push_front(written);
}

void conditional_writer::Complete(pending_write& written,
                                  const write_result& result) {
  if (std::exchange(written.completed, true))
    return;
  const auto done = std::move(written.what.done);
  done(result);
}

void conditional_writer::Expire(pending_write& written) {
  // A write that was never sent is certainly not stored.
  Complete(written,
           {written.sent ? write_outcome::kUnknown : write_outcome::kNotWritten,
            {}});
}

}  // namespace chivecrank::runtime
