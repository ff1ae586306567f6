#include "chivecrank/protocol/worker_fence.h"

#include <algorithm>
#include <utility>

namespace chivecrank::protocol {

worker_fence::worker_fence(std::string incarnation)
    : incarnation_(std::move(incarnation)) {}

sync_outcome worker_fence::OnSync(const sync_sequence& order,
                                  base::time_point now,
                                  std::chrono::milliseconds term) {
  if (order.epoch < epoch_)
    return sync_outcome::kFenced;
  if (order.epoch > epoch_) {
    epoch_ = order.epoch;
    last_number_ = 0;
    answered_at_.clear();
  }
  if (order.number <= last_number_)
    return sync_outcome::kStale;
  last_number_ = order.number;
  const bool renewed = Renew(order, term);
  answered_at_[order.number] = now;
  if (renewed && !IsLeaseExpired(now))
    return sync_outcome::kRenewed;
  return sync_outcome::kNotRenewed;
}

std::string worker_fence::Fingerprint() const {
  std::string text = incarnation_ + "/" + std::to_string(epoch_) + "/" +
                     std::to_string(last_number_) + "/" +
                     std::to_string(lease_expiry_.time_since_epoch().count());
  for (const auto& [number, at] : answered_at_) {
    text += "," + std::to_string(number) + ":" +
            std::to_string(at.time_since_epoch().count());
  }
  return text;
}

bool worker_fence::Renew(const sync_sequence& order,
                         std::chrono::milliseconds term) {
  if (order.incarnation != incarnation_)
    return false;
  const auto answered = answered_at_.find(order.last_answered);
  if (answered == answered_at_.end())
    return false;
  lease_expiry_ = std::max(lease_expiry_, answered->second + term);
  answered_at_.erase(answered_at_.begin(), answered);
  return true;
}

}  // namespace chivecrank::protocol
