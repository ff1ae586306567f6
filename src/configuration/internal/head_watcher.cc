#include "chivecrank/configuration/head_watcher.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "chivecrank/configuration/codec.h"
#include "chivecrank/configuration/repository.h"

namespace chivecrank::configuration {

head_watcher::head_watcher(coordination::store& store,
                           base::clock& clock,
                           local_configuration& local,
                           head_watcher_settings settings,
                           hooks callbacks)
    : store_(store),
      clock_(clock),
      local_(local),
      settings_(settings),
      hooks_(std::move(callbacks)),
      random_(settings.seed),
      retry_delay_(settings.initial_retry_delay),
      confirmation_timeout_(settings.confirmation_timeout) {
  DrawConfirmationTimeout();
}

head_watcher::~head_watcher() {
  Stop();
}

void head_watcher::Start() {
  thread_ = std::thread([this] { Run(); });
}

void head_watcher::Stop() {
  stopping_ = true;
  if (thread_.joinable())
    thread_.join();
}

base::result<void> head_watcher::Refresh() {
  const base::time_point sent_at = clock_.Now();
  BOOST_OUTCOME_TRY(
      found, store_.Get(coordination::call_class::kConfiguration, kHeadKey));
  snapshot head;
  if (found) {
    BOOST_OUTCOME_TRY(accepted, DecodeSnapshot(found->value));
    head = std::move(accepted);
  }
  const revision number = head.revision;
  if (local_.ApplyIfNewer(std::move(head)))
    hooks_.on_newer_revision();
  local_.ConfirmRevision(number, sent_at);
  return base::Success();
}

void head_watcher::Run() {
  while (!stopping_)
    RunOnce();
}

void head_watcher::RunOnce() {
  if (!initialized_) {
    Initialize();
    return;
  }
  if (hooks_.should_watch()) {
    Watch();
    return;
  }
  watched_revision_ = 0;
  if (!ConfirmationOverdue()) {
    clock_.SleepUntil(clock_.Now() + settings_.poll_interval);
    return;
  }
  if (!Refresh().has_value())
    SleepBeforeRetry();
}

void head_watcher::Initialize() {
  if (!Refresh().has_value()) {
    SleepBeforeRetry();
    return;
  }
  retry_delay_ = settings_.initial_retry_delay;
  hooks_.ask_peers();
  local_.Activate();
  initialized_ = true;
}

void head_watcher::Watch() {
  const base::time_point sent_at = clock_.Now();
  const bool is_first = watched_revision_ == 0;
  const auto timeout =
      is_first ? std::chrono::milliseconds(0) : settings_.watch_timeout;
  const auto answer = store_.Watch({kHeadKey, watched_revision_, timeout});
  if (!answer.has_value()) {
    SleepBeforeRetry();
    return;
  }
  const bool must_read_head = is_first || answer.value().gap;
  if (must_read_head && !Refresh().has_value()) {
    watched_revision_ = 0;
    SleepBeforeRetry();
    return;
  }
  for (const coordination::store_change& change : answer.value().changes)
    ApplyChange(change, sent_at);
  if (answer.value().changes.empty() && !must_read_head)
    local_.ConfirmRevision(local_.Version(), sent_at);
  watched_revision_ = answer.value().revision;
  retry_delay_ = settings_.initial_retry_delay;
}

void head_watcher::ApplyChange(const coordination::store_change& change,
                               base::time_point sent_at) {
  if (change.kind != coordination::change_kind::kPut ||
      change.entry.key != kHeadKey)
    return;
  auto accepted = DecodeSnapshot(change.entry.value);
  if (!accepted.has_value()) {
    LOG(ERROR) << "configuration: the head in the store is malformed: "
               << base::Describe(accepted.error()) << ".";
    return;
  }
  const revision number = accepted.value().revision;
  if (local_.ApplyIfNewer(std::move(accepted.value())))
    hooks_.on_newer_revision();
  local_.ConfirmRevision(number, sent_at);
}

void head_watcher::SleepBeforeRetry() {
  std::uniform_int_distribution<std::int64_t> jittered(retry_delay_.count() / 2,
                                                       retry_delay_.count());
  const base::time_point retry_at =
      clock_.Now() + std::chrono::milliseconds(jittered(random_));
  retry_delay_ = std::min(retry_delay_ * 2, settings_.max_retry_delay);
  while (!stopping_ && clock_.Now() < retry_at)
    clock_.SleepUntil(
        std::min(retry_at, clock_.Now() + settings_.poll_interval));
}

bool head_watcher::ConfirmationOverdue() {
  if (clock_.Now() - local_.ConfirmedAt() < confirmation_timeout_)
    return false;
  DrawConfirmationTimeout();
  return true;
}

void head_watcher::DrawConfirmationTimeout() {
  std::uniform_int_distribution<std::int64_t> jitter(
      0, settings_.confirmation_timeout.count());
  confirmation_timeout_ = settings_.confirmation_timeout +
                          std::chrono::milliseconds(jitter(random_));
}

}  // namespace chivecrank::configuration
