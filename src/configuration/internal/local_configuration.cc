#include "chivecrank/configuration/local_configuration.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "chivecrank/configuration/codec.h"

namespace chivecrank::configuration {

local_configuration::local_configuration(base::clock& clock)
    : confirmed_at_(clock.Now()) {}

shared_snapshot local_configuration::Current() const {
  std::lock_guard lock(mutex_);
  return active_ ? newest_ : nullptr;
}

shared_snapshot local_configuration::Newest() const {
  std::lock_guard lock(mutex_);
  return newest_;
}

bool local_configuration::ApplyIfNewer(snapshot candidate) {
  std::lock_guard lock(mutex_);
  if (newest_ && newest_->revision >= candidate.revision)
    return false;
  LOG(INFO) << "configuration: revision " << candidate.revision
            << (active_ ? " is active." : " is known, not yet active.");
  newest_ = std::make_shared<const snapshot>(std::move(candidate));
  return true;
}

void local_configuration::ConfirmRevision(revision number,
                                          base::time_point at) {
  RecordConfirmation(number, at);
}

void local_configuration::Activate() {
  std::lock_guard lock(mutex_);
  if (active_)
    return;
  if (!newest_)
    newest_ = std::make_shared<const snapshot>();
  LOG(INFO) << "configuration: revision " << newest_->revision << " is active.";
  active_ = true;
}

std::uint64_t local_configuration::Version() const {
  std::lock_guard lock(mutex_);
  return newest_ ? newest_->revision : 0;
}

std::uint64_t local_configuration::ActiveVersion() const {
  const shared_snapshot current = Current();
  return current ? current->revision : 0;
}

std::string local_configuration::Text() const {
  const shared_snapshot newest = Newest();
  return newest ? EncodeSnapshot(*newest) : "";
}

base::result<void> local_configuration::ApplyText(const std::string& text) {
  BOOST_OUTCOME_TRY(decoded, DecodeSnapshot(text));
  ApplyIfNewer(std::move(decoded));
  return base::Success();
}

base::time_point local_configuration::ConfirmedAt() const {
  std::lock_guard lock(mutex_);
  return confirmed_at_;
}

void local_configuration::RecordConfirmation(std::uint64_t version,
                                             base::time_point at) {
  std::lock_guard lock(mutex_);
  const revision newest = newest_ ? newest_->revision : 0;
  if (version >= newest)
    confirmed_at_ = std::max(confirmed_at_, at);
}

}  // namespace chivecrank::configuration
