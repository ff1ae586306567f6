#ifndef CHIVECRANK_PROTOCOL_WORKER_FENCE_H_
#define CHIVECRANK_PROTOCOL_WORKER_FENCE_H_

#include <map>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/protocol/types.h"

namespace chivecrank::protocol {

/// The worker's side of the lease: decides which syncs are valid and until when
/// attempts may run.
class worker_fence {
 public:
  /// `incarnation` identifies the agent process.
  explicit worker_fence(std::string incarnation);

  sync_outcome OnSync(const sync_sequence& order,
                      base::time_point now,
                      std::chrono::milliseconds term);

  /// Every attempt must have stopped by this moment.
  base::time_point lease_expiry() const { return lease_expiry_; }
  bool IsLeaseExpired(base::time_point now) const {
    return now >= lease_expiry_;
  }

  /// Canonical text of the state, for comparing states.
  std::string Fingerprint() const;

  const std::string& incarnation() const { return incarnation_; }
  std::uint64_t epoch() const { return epoch_; }

 private:
  bool Renew(const sync_sequence& order, std::chrono::milliseconds term);

  std::string incarnation_;
  std::uint64_t epoch_ = 0;
  std::uint64_t last_number_ = 0;
  /// Time of the answer, by number, of the syncs that a later sync may still
  /// name as its last answered one.
  std::map<std::uint64_t, base::time_point> answered_at_;
  base::time_point lease_expiry_{};
};

}  // namespace chivecrank::protocol

#endif  // CHIVECRANK_PROTOCOL_WORKER_FENCE_H_
