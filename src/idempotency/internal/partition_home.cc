#include "chivecrank/idempotency/partition_home.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace chivecrank::idempotency {
namespace {

constexpr std::chrono::milliseconds kWaitStep{20};
/// An admitted request without an end counts as unknown this long after its
/// deadline.
constexpr std::chrono::milliseconds kOverdue{2000};
constexpr std::chrono::milliseconds kExpiryPeriod{5000};
constexpr std::size_t kBatchBytes = std::size_t{256} * 1024;
/// Writes that may follow each other without spacing after a pause.
constexpr int kWriteBurst = 8;
/// Share of the retention time after which an idle home reads its head.
constexpr int kChecksPerRetention = 30;

base::error Fenced() {
  return {base::error_kind::kFenced, "this entry is not the home of the key",
          "ask the new home"};
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
      ledger_(settings.retention),
      log_(store, clock, number, writer, settings.retention) {}

partition_home::~partition_home() {
  {
    std::lock_guard held(mutex_);
    stopping_ = true;
    fenced_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable())
    thread_.join();
}

base::result<void> partition_home::Open() {
  const base::time_point started = clock_.Now();
  BOOST_OUTCOME_TRY(contents, log_.Open());
  std::lock_guard held(mutex_);
  // Retention counts from after the reading, ownership from before it.
  ledger_.Load(contents.entries, contents.clean, clock_.Now());
  ledger_.ConfirmOwnership(started);
  confirmed_ = started;
  for (const log_entry& intent : ledger_.InFlight()) {
    in_flight_[intent.request_id] = {intent.token, intent.fingerprint,
                                     started + settings_.longest_request};
  }
  open_ = true;
  thread_ = std::thread([this] { Run(); });
  return base::Success();
}

base::result<decision> partition_home::Begin(const arrival& request,
                                             time_limits limits) {
  const base::time_point asked = clock_.Now();
  lock held(mutex_);
  while (true) {
    const base::time_point now = clock_.Now();
    // What is in the log may be sent even if another owner follows.
    if (ledger_.MaySend(request, IsSlow(now, asked), now))
      return decision{verdict::kRun, {}};
    if (fenced_)
      return Fenced();
    const arrival_action action =
        closing_ && !in_flight_.contains(request.request_id)
            ? arrival_action::kWait
            : ledger_.Arrive(request, now);
    if (action == arrival_action::kRecord)
      Admit(request, now + limits.remaining);
    if (action == arrival_action::kReplay) {
      return decision{verdict::kReplay, *ledger_.AnswerOf(request.request_id)};
    }
    if (action == arrival_action::kUnknown)
      return decision{verdict::kUnknown, {}};
    if (action == arrival_action::kMismatch)
      return decision{verdict::kMismatch, {}};
    if (now >= asked + limits.poll_timeout)
      return decision{verdict::kPending, {}};
    changed_.wait_for(held, kWaitStep);
  }
}

bool partition_home::IsSlow(base::time_point now,
                            base::time_point asked) const {
  return !fenced_ && (failing_ || now - asked >= settings_.patience);
}

void partition_home::Admit(const arrival& request, base::time_point deadline) {
  in_flight_[request.request_id] = {request.token, request.fingerprint,
                                    deadline + kOverdue};
  Append({log_entry_kind::kIntent,
          request.request_id,
          request.fingerprint,
          request.token,
          {}});
}

base::result<void> partition_home::Finish(const log_entry& ended) {
  std::lock_guard held(mutex_);
  const auto admitted = in_flight_.find(ended.request_id);
  if (fenced_ || (closing_ && admitted == in_flight_.end()))
    return Fenced();
  if (admitted != in_flight_.end() && admitted->second.token == ended.token)
    in_flight_.erase(admitted);
  if (ledger_.Finish(ended, clock_.Now()))
    Append(ended);
  changed_.notify_all();
  return base::Success();
}

base::result<key_report> partition_home::Describe(
    const std::string& request_id) {
  std::lock_guard held(mutex_);
  if (fenced_ || closing_)
    return Fenced();
  const key_state state = ledger_.StateOf(request_id);
  if (state == key_state::kCompleted)
    return key_report{state, *ledger_.AnswerOf(request_id)};
  const bool unsure = state == key_state::kAbsent &&
                      (failing_ || ledger_.IsIncomplete(clock_.Now()));
  return key_report{unsure ? key_state::kUnknown : state, {}};
}

void partition_home::Close(std::chrono::milliseconds limit) {
  const base::time_point end = clock_.Now() + limit;
  lock held(mutex_);
  if (!open_)
    return;
  closing_ = true;
  changed_.notify_all();
  const auto done = [this] { return pending_.empty() && writing_.empty(); };
  while (!fenced_ && !done() && clock_.Now() < end)
    changed_.wait_for(held, kWaitStep);
  const bool clean = !fenced_ && done();
  stopping_ = true;
  held.unlock();
  changed_.notify_all();
  if (thread_.joinable())
    thread_.join();
  // Otherwise the next owner has to count with sends without a record.
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

void partition_home::Run() {
  lock held(mutex_);
  while (WaitForWork(held)) {
    const base::time_point started = clock_.Now();
    paced_until_ = std::max(paced_until_, started) + settings_.write_spacing;
    const auto result = Write(held);
    TakeResult(result, started);
    changed_.notify_all();
    while (failing_ && !stopping_ && !fenced_ &&
           clock_.Now() < started + settings_.retry) {
      changed_.wait_for(held, kWaitStep);
    }
  }
}

bool partition_home::WaitForWork(lock& held) {
  while (!stopping_ && !fenced_) {
    const base::time_point now = clock_.Now();
    EndOverdue();
    if (now >= expire_at_) {
      ledger_.Expire(now);
      expire_at_ = now + kExpiryPeriod;
    }
    if (!writing_.empty() || IsWriteDue(now))
      return true;
    changed_.wait_for(held, kWaitStep);
  }
  return false;
}

bool partition_home::IsWriteDue(base::time_point now) const {
  if (pending_.empty())
    return now - confirmed_ > settings_.retention / kChecksPerRetention;
  const bool paced = paced_until_ - now > settings_.write_spacing * kWriteBurst;
  // Requests wait for their intents; ends may come along with them.
  const bool urgent =
      closing_ || now - pending_since_ >= settings_.end_delay ||
      std::any_of(pending_.begin(), pending_.end(), [](const log_entry& entry) {
        return entry.kind == log_entry_kind::kIntent;
      });
  return urgent && !paced;
}

void partition_home::Append(const log_entry& entry) {
  if (pending_.empty())
    pending_since_ = clock_.Now();
  pending_.push_back(entry);
  changed_.notify_all();
}

base::result<void> partition_home::Write(lock& held) {
  const bool repeat = !writing_.empty();
  if (!repeat)
    writing_ = TakeBatch();
  const std::vector<log_entry> batch = writing_;
  held.unlock();
  auto result = batch.empty() ? log_.Check()
                : repeat      ? log_.Retry()
                              : log_.Append(batch);
  held.lock();
  return result;
}

std::vector<log_entry> partition_home::TakeBatch() {
  std::size_t bytes = 0;
  auto end = pending_.begin();
  while (end != pending_.end() && bytes < kBatchBytes) {
    bytes += end->request_id.size() + end->answer.body.size();
    ++end;
  }
  std::vector<log_entry> batch(pending_.begin(), end);
  pending_.erase(pending_.begin(), end);
  return batch;
}

void partition_home::TakeResult(const base::result<void>& result,
                                base::time_point started) {
  if (!result.has_value()) {
    const bool was_failing = failing_;
    failing_ = true;
    fenced_ = result.error().kind == base::error_kind::kFenced;
    if (was_failing && !fenced_)
      return;
    LOG(WARNING) << "requests: partition " << number_ << ": "
                 << base::Describe(result.error()) << ".";
    return;
  }
  failing_ = false;
  confirmed_ = started;
  ledger_.ConfirmOwnership(started);
  for (const log_entry& entry : writing_) {
    if (entry.kind == log_entry_kind::kIntent)
      ledger_.ConfirmIntent(entry);
  }
  writing_.clear();
}

void partition_home::EndOverdue() {
  const base::time_point now = clock_.Now();
  for (auto at = in_flight_.begin(); at != in_flight_.end();) {
    if (now < at->second.ends) {
      ++at;
      continue;
    }
    const log_entry lost{log_entry_kind::kUnknown,
                         at->first,
                         at->second.fingerprint,
                         at->second.token,
                         {}};
    if (ledger_.Finish(lost, now))
      Append(lost);
    at = in_flight_.erase(at);
  }
}

}  // namespace chivecrank::idempotency
