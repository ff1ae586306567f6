#include "chivecrank/configuration/follower.h"

#include <glog/logging.h>

#include <utility>

#include "chivecrank/configuration/codec.h"
#include "chivecrank/configuration/repository.h"

namespace chivecrank::configuration {

follower::follower(platform::store& store,
                   base::clock& clock,
                   follower_settings settings)
    : store_(store), clock_(clock), settings_(settings) {}

follower::~follower() {
  Stop();
}

void follower::Start() {
  thread_ = std::thread([this] { Run(); });
}

void follower::Stop() {
  stopping_ = true;
  if (thread_.joinable())
    thread_.join();
}

shared_snapshot follower::Current() const {
  std::lock_guard lock(mutex_);
  return current_;
}

base::result<void> follower::Refresh() {
  BOOST_OUTCOME_TRY(found,
                    store_.Get(platform::call_class::kConfiguration, kHeadKey));
  if (!found) {
    Offer(snapshot{});
    return base::Success();
  }
  BOOST_OUTCOME_TRY(accepted, DecodeSnapshot(found->value));
  Offer(std::move(accepted));
  return base::Success();
}

void follower::Offer(snapshot candidate) {
  std::lock_guard lock(mutex_);
  if (current_ && current_->revision >= candidate.revision)
    return;
  LOG(INFO) << "configuration: revision " << candidate.revision
            << " is in force.";
  current_ = std::make_shared<const snapshot>(std::move(candidate));
}

void follower::Run() {
  platform::revision seen = 0;
  bool listed = false;
  while (!stopping_) {
    const auto answer = store_.Watch({kHeadKey, seen, settings_.watch_wait});
    if (!answer.has_value()) {
      clock_.SleepUntil(clock_.Now() + settings_.retry_pause);
      continue;
    }
    const bool changed =
        !answer.value().changes.empty() || answer.value().gap || !listed;
    if (changed && !Refresh().has_value()) {
      clock_.SleepUntil(clock_.Now() + settings_.retry_pause);
      continue;
    }
    listed = true;
    seen = answer.value().revision;
  }
}

}  // namespace chivecrank::configuration
