#include "chivecrank/idempotency/partition_home.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace chivecrank::idempotency {
namespace {

constexpr std::chrono::milliseconds kWaitInterval{20};
/// An admitted request without an outcome counts as unknown this long after its
/// deadline.
constexpr std::chrono::milliseconds kOverdueDelay{2000};
constexpr std::chrono::milliseconds kExpiryPeriod{5000};
constexpr std::size_t kMaxBatchBytes = std::size_t{256} * 1024;
/// Number of writes that may follow each other without spacing after an idle
/// period.
constexpr int kMaxWriteBurst = 8;
/// An idle home reads its head this many times per retention time.
constexpr int kChecksPerRetention = 30;

base::error Fenced() {
  return {base::error_kind::kFenced, "this entry is not the home of the key",
          "send the request to the key's new home"};
}

}  // namespace

partition_home::partition_home(coordination::store& store,
                               base::clock& clock,
                               partition_id number,
                               const std::string& writer,
                               home_settings settings)
    : clock_(clock),
      number_(number),
      settings_(settings),
      key_table_(settings.retention),
      log_(store, clock, number, writer, settings.retention) {}

partition_home::~partition_home() {
  {
    std::lock_guard held(mutex_);
    stopping_ = true;
    fenced_ = true;
  }
  changed_.notify_all();
  if (writer_thread_.joinable())
    writer_thread_.join();
}

base::result<void> partition_home::Open() {
  const base::time_point started = clock_.Now();
  BOOST_OUTCOME_TRY(contents, log_.Open());
  std::lock_guard held(mutex_);
  // Retention is counted from after the read and ownership from before it, so
  // both err on the safe side.
  key_table_.Load(contents.entries, contents.clean, clock_.Now());
  key_table_.ConfirmOwnership(started);
  confirmed_at_ = started;
  for (const log_entry& intent : key_table_.IntentsInFlight()) {
    in_flight_[intent.request_id] = {intent.token, intent.fingerprint,
                                     started + settings_.max_request_duration};
  }
  open_ = true;
  writer_thread_ = std::thread([this] { RunWriter(); });
  return base::Success();
}

base::result<decision> partition_home::Begin(const arrival& request,
                                             time_limits limits) {
  const base::time_point started_at = clock_.Now();
  lock held(mutex_);
  while (true) {
    const base::time_point now = clock_.Now();
    // A recorded request may be sent even if another owner has taken over.
    if (key_table_.MaySend(request, IsRecordSlow(now, started_at), now))
      return decision{verdict::kRun, {}};
    if (fenced_)
      return Fenced();
    const arrival_action action =
        closing_ && !in_flight_.contains(request.request_id)
            ? arrival_action::kWait
            : key_table_.Decide(request, now);
    if (action == arrival_action::kRecord)
      RecordAdmission(request, now + limits.remaining);
    if (action == arrival_action::kReplay) {
      return decision{verdict::kReplay,
                      *key_table_.AnswerOf(request.request_id)};
    }
    if (action == arrival_action::kUnknown)
      return decision{verdict::kUnknown, {}};
    if (action == arrival_action::kMismatch)
      return decision{verdict::kMismatch, {}};
    if (now >= started_at + limits.poll_timeout)
      return decision{verdict::kPending, {}};
    changed_.wait_for(held, kWaitInterval);
  }
}

bool partition_home::IsRecordSlow(base::time_point now,
                                  base::time_point started_at) const {
  return !fenced_ && (store_failing_ ||
                      now - started_at >= settings_.unrecorded_send_delay);
}

void partition_home::RecordAdmission(const arrival& request,
                                     base::time_point deadline) {
  in_flight_[request.request_id] = {request.token, request.fingerprint,
                                    deadline + kOverdueDelay};
  Enqueue({log_entry_kind::kIntent,
           request.request_id,
           request.fingerprint,
           request.token,
           {}});
}

base::result<void> partition_home::Finish(const log_entry& outcome) {
  std::lock_guard held(mutex_);
  const auto admitted = in_flight_.find(outcome.request_id);
  if (fenced_ || (closing_ && admitted == in_flight_.end()))
    return Fenced();
  if (admitted != in_flight_.end() && admitted->second.token == outcome.token)
    in_flight_.erase(admitted);
  if (key_table_.Finish(outcome, clock_.Now()))
    Enqueue(outcome);
  changed_.notify_all();
  return base::Success();
}

base::result<key_report> partition_home::Describe(
    const std::string& request_id) {
  std::lock_guard held(mutex_);
  if (fenced_ || closing_)
    return Fenced();
  const key_state state = key_table_.StateOf(request_id);
  if (state == key_state::kCompleted)
    return key_report{state, *key_table_.AnswerOf(request_id)};
  const bool uncertain =
      state == key_state::kAbsent &&
      (store_failing_ || key_table_.MayLackRecords(clock_.Now()));
  return key_report{uncertain ? key_state::kUnknown : state, {}};
}

void partition_home::Close(std::chrono::milliseconds limit) {
  const base::time_point end = clock_.Now() + limit;
  lock held(mutex_);
  if (!open_)
    return;
  closing_ = true;
  changed_.notify_all();
  const auto done = [this] {
    return pending_.empty() && current_batch_.empty();
  };
  while (!fenced_ && !done() && clock_.Now() < end)
    changed_.wait_for(held, kWaitInterval);
  const bool clean = !fenced_ && done();
  stopping_ = true;
  held.unlock();
  changed_.notify_all();
  if (writer_thread_.joinable())
    writer_thread_.join();
  // If the log is not closed, the next owner must assume that requests were
  // sent without a record.
  if (clean)
    static_cast<void>(log_.Close());
  held.lock();
  fenced_ = true;
  open_ = false;
}

bool partition_home::IsOpen() const {
  std::lock_guard held(mutex_);
  return open_ && !fenced_ && !closing_;
}

void partition_home::RunWriter() {
  lock held(mutex_);
  while (WaitForWork(held)) {
    const base::time_point started = clock_.Now();
    paced_until_ =
        std::max(paced_until_, started) + settings_.mean_write_interval;
    const auto result = WriteBatch(held);
    HandleWriteResult(result, started);
    changed_.notify_all();
    while (store_failing_ && !stopping_ && !fenced_ &&
           clock_.Now() < started + settings_.retry_interval) {
      changed_.wait_for(held, kWaitInterval);
    }
  }
}

bool partition_home::WaitForWork(lock& held) {
  while (!stopping_ && !fenced_) {
    const base::time_point now = clock_.Now();
    ExpireOverdue();
    if (now >= next_expiry_) {
      key_table_.Expire(now);
      next_expiry_ = now + kExpiryPeriod;
    }
    if (!current_batch_.empty() || IsWriteDue(now))
      return true;
    changed_.wait_for(held, kWaitInterval);
  }
  return false;
}

bool partition_home::IsWriteDue(base::time_point now) const {
  if (pending_.empty())
    return now - confirmed_at_ > settings_.retention / kChecksPerRetention;
  const bool paced =
      paced_until_ - now > settings_.mean_write_interval * kMaxWriteBurst;
  // Requests wait for their intents to be written; outcomes can be delayed to
  // share a write with them.
  const bool urgent =
      closing_ || now - oldest_pending_at_ >= settings_.max_outcome_delay ||
      std::any_of(pending_.begin(), pending_.end(), [](const log_entry& entry) {
        return entry.kind == log_entry_kind::kIntent;
      });
  return urgent && !paced;
}

void partition_home::Enqueue(const log_entry& entry) {
  if (pending_.empty())
    oldest_pending_at_ = clock_.Now();
  pending_.push_back(entry);
  changed_.notify_all();
}

base::result<void> partition_home::WriteBatch(lock& held) {
  const bool repeat = !current_batch_.empty();
  if (!repeat)
    current_batch_ = TakeBatch();
  const std::vector<log_entry> batch = current_batch_;
  held.unlock();
  auto result = batch.empty() ? log_.CheckOwnership()
                : repeat      ? log_.RetryWrite()
                              : log_.Append(batch);
  held.lock();
  return result;
}

std::vector<log_entry> partition_home::TakeBatch() {
  std::size_t bytes = 0;
  auto end = pending_.begin();
  while (end != pending_.end() && bytes < kMaxBatchBytes) {
    bytes += end->request_id.size() + end->answer.body.size();
    ++end;
  }
  std::vector<log_entry> batch(pending_.begin(), end);
  pending_.erase(pending_.begin(), end);
  return batch;
}

void partition_home::HandleWriteResult(const base::result<void>& result,
                                       base::time_point started) {
  if (!result.has_value()) {
    const bool was_failing = store_failing_;
    store_failing_ = true;
    fenced_ = result.error().kind == base::error_kind::kFenced;
    if (was_failing && !fenced_)
      return;
    LOG(WARNING) << "requests: partition " << number_ << ": "
                 << base::Describe(result.error()) << ".";
    return;
  }
  store_failing_ = false;
  confirmed_at_ = started;
  key_table_.ConfirmOwnership(started);
  for (const log_entry& entry : current_batch_) {
    if (entry.kind == log_entry_kind::kIntent)
      key_table_.ConfirmIntent(entry);
  }
  current_batch_.clear();
}

void partition_home::ExpireOverdue() {
  const base::time_point now = clock_.Now();
  for (auto request = in_flight_.begin(); request != in_flight_.end();) {
    if (now < request->second.end_deadline) {
      ++request;
      continue;
    }
    const log_entry lost{log_entry_kind::kUnknown,
                         request->first,
                         request->second.fingerprint,
                         request->second.token,
                         {}};
    if (key_table_.Finish(lost, now))
      Enqueue(lost);
    request = in_flight_.erase(request);
  }
}

}  // namespace chivecrank::idempotency
