#include "chivecrank/configuration/head_watcher.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "chivecrank/configuration/codec.h"
#include "chivecrank/configuration/repository.h"

namespace chivecrank::configuration {

head_watcher::head_watcher(coordination::store& store,
                           base::clock& clock,
                           held_configuration& held,
                           head_watcher_settings settings,
                           hooks surroundings)
    : store_(store),
      clock_(clock),
      held_(held),
      settings_(settings),
      surroundings_(std::move(surroundings)),
      random_(settings.seed),
      pause_(settings.retry_pause),
      patience_(settings.patience) {
  DrawPatience();
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
  const base::time_point asked = clock_.Now();
  BOOST_OUTCOME_TRY(
      found, store_.Get(coordination::call_class::kConfiguration, kHeadKey));
  snapshot head;
  if (found) {
    BOOST_OUTCOME_TRY(accepted, DecodeSnapshot(found->value));
    head = std::move(accepted);
  }
  const revision number = head.revision;
  if (held_.Offer(std::move(head)))
    surroundings_.on_newer();
  held_.Confirm(number, asked);
  return base::Success();
}

void head_watcher::Run() {
  while (!stopping_)
    RunOnce();
}

void head_watcher::RunOnce() {
  if (!started_up_) {
    StartUp();
    return;
  }
  if (surroundings_.should_watch()) {
    Watch();
    return;
  }
  seen_ = 0;
  if (!Impatient()) {
    clock_.SleepUntil(clock_.Now() + settings_.poll);
    return;
  }
  if (!Refresh().has_value())
    PauseAfterFailure();
}

void head_watcher::StartUp() {
  if (!Refresh().has_value()) {
    PauseAfterFailure();
    return;
  }
  pause_ = settings_.retry_pause;
  surroundings_.ask_peers();
  held_.Admit();
  started_up_ = true;
}

void head_watcher::Watch() {
  const base::time_point asked = clock_.Now();
  const bool anew = seen_ == 0;
  const auto wait = anew ? std::chrono::milliseconds(0) : settings_.watch_wait;
  const auto answer = store_.Watch({kHeadKey, seen_, wait});
  if (!answer.has_value()) {
    PauseAfterFailure();
    return;
  }
  const bool read_anew = anew || answer.value().gap;
  if (read_anew && !Refresh().has_value()) {
    seen_ = 0;
    PauseAfterFailure();
    return;
  }
  for (const coordination::store_change& change : answer.value().changes)
    TakeChange(change, asked);
  if (answer.value().changes.empty() && !read_anew)
    held_.Confirm(held_.Version(), asked);
  seen_ = answer.value().revision;
  pause_ = settings_.retry_pause;
}

void head_watcher::TakeChange(const coordination::store_change& change,
                              base::time_point asked) {
  if (change.kind != coordination::change_kind::kPut ||
      change.entry.key != kHeadKey)
    return;
  auto accepted = DecodeSnapshot(change.entry.value);
  if (!accepted.has_value()) {
    LOG(ERROR) << "configuration: the head in the store is broken: "
               << base::Describe(accepted.error()) << ".";
    return;
  }
  const revision number = accepted.value().revision;
  if (held_.Offer(std::move(accepted.value())))
    surroundings_.on_newer();
  held_.Confirm(number, asked);
}

void head_watcher::PauseAfterFailure() {
  std::uniform_int_distribution<std::int64_t> jittered(pause_.count() / 2,
                                                       pause_.count());
  const base::time_point wake =
      clock_.Now() + std::chrono::milliseconds(jittered(random_));
  pause_ = std::min(pause_ * 2, settings_.longest_pause);
  while (!stopping_ && clock_.Now() < wake)
    clock_.SleepUntil(std::min(wake, clock_.Now() + settings_.poll));
}

bool head_watcher::Impatient() {
  if (clock_.Now() - held_.ConfirmedAt() < patience_)
    return false;
  DrawPatience();
  return true;
}

void head_watcher::DrawPatience() {
  std::uniform_int_distribution<std::int64_t> added(0,
                                                    settings_.patience.count());
  patience_ = settings_.patience + std::chrono::milliseconds(added(random_));
}

}  // namespace chivecrank::configuration
