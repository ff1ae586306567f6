#include "chivecrank/configuration/held_configuration.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "chivecrank/configuration/codec.h"

namespace chivecrank::configuration {

held_configuration::held_configuration(base::clock& clock)
    : confirmed_at_(clock.Now()) {}

shared_snapshot held_configuration::Current() const {
  std::lock_guard lock(mutex_);
  return admitted_ ? newest_ : nullptr;
}

shared_snapshot held_configuration::Newest() const {
  std::lock_guard lock(mutex_);
  return newest_;
}

bool held_configuration::Offer(snapshot candidate) {
  std::lock_guard lock(mutex_);
  if (newest_ && newest_->revision >= candidate.revision)
    return false;
  LOG(INFO) << "configuration: revision " << candidate.revision
            << (admitted_ ? " is in force." : " is known.");
  newest_ = std::make_shared<const snapshot>(std::move(candidate));
  return true;
}

void held_configuration::Confirm(revision number, base::time_point at) {
  RecordConfirmation(number, at);
}

void held_configuration::Admit() {
  std::lock_guard lock(mutex_);
  if (admitted_)
    return;
  if (!newest_)
    newest_ = std::make_shared<const snapshot>();
  LOG(INFO) << "configuration: revision " << newest_->revision
            << " is in force.";
  admitted_ = true;
}

std::uint64_t held_configuration::Version() const {
  std::lock_guard lock(mutex_);
  return newest_ ? newest_->revision : 0;
}

std::uint64_t held_configuration::ActiveVersion() const {
  const shared_snapshot current = Current();
  return current ? current->revision : 0;
}

std::string held_configuration::Text() const {
  const shared_snapshot held = Newest();
  return held ? EncodeSnapshot(*held) : "";
}

base::result<void> held_configuration::ApplyText(const std::string& text) {
  BOOST_OUTCOME_TRY(offered, DecodeSnapshot(text));
  Offer(std::move(offered));
  return base::Success();
}

base::time_point held_configuration::ConfirmedAt() const {
  std::lock_guard lock(mutex_);
  return confirmed_at_;
}

void held_configuration::RecordConfirmation(std::uint64_t version,
                                            base::time_point at) {
  std::lock_guard lock(mutex_);
  const revision held = newest_ ? newest_->revision : 0;
  if (version >= held)
    confirmed_at_ = std::max(confirmed_at_, at);
}

}  // namespace chivecrank::configuration
