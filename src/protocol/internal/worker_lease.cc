#include "chivecrank/protocol/worker_lease.h"

#include <algorithm>

namespace chivecrank::protocol {

// A former owner may have gone on renewing the worker's lease for the outage
// grace period.
worker_lease::worker_lease(std::uint64_t epoch,
                           lease_terms terms,
                           base::time_point opened)
    : epoch_(epoch),
      terms_(terms),
      expiry_(opened + terms.outage_grace + terms.term + terms.clock_margin) {}

sync_sequence worker_lease::NextSync() {
  return {epoch_, ++last_sent_, last_answered_, incarnation_};
}

std::string worker_lease::Fingerprint() const {
  return std::to_string(last_sent_) + "/" + std::to_string(last_answered_) +
         "/" + incarnation_ + "/" +
         std::to_string(expiry_.time_since_epoch().count());
}

bool worker_lease::OnAnswer(std::uint64_t number,
                            const std::string& incarnation,
                            base::time_point now) {
  if (number <= last_answered_)
    return false;
  last_answered_ = number;
  incarnation_ = incarnation;
  // The worker has seen this epoch, so the former owner can't renew its lease
  // any more.
  expiry_ = now + terms_.term + terms_.clock_margin;
  return true;
}

}  // namespace chivecrank::protocol
