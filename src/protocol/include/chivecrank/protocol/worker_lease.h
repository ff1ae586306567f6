#ifndef CHIVECRANK_PROTOCOL_WORKER_LEASE_H_
#define CHIVECRANK_PROTOCOL_WORKER_LEASE_H_

#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/protocol/types.h"

namespace chivecrank::protocol {

/// The owner's side of the lease: numbers the syncs to one worker and tells
/// when all attempts on it must have ended, even if the worker doesn't respond.
class worker_lease {
 public:
  /// `opened` must be later than the expiry of the former owner's lease.
  worker_lease(std::uint64_t epoch, lease_terms terms, base::time_point opened);

  sync_sequence NextSync();

  /// Handles the answer to a sync. Returns false if the answer to a later sync
  /// has been received; the caller must then ignore this one.
  bool OnAnswer(std::uint64_t number,
                const std::string& incarnation,
                base::time_point now);

  /// Whether the worker has answered in this epoch, so that the next sync
  /// renews its lease.
  bool HasAnswered() const { return last_answered_ != 0; }

  /// Whether no attempt that was started under this or an earlier epoch can
  /// run on the worker any more.
  bool HasExpired(base::time_point now) const { return now > expiry_; }

  /// Canonical text of the state within one epoch, for comparing states.
  std::string Fingerprint() const;

 private:
  std::uint64_t epoch_;
  lease_terms terms_;
  std::uint64_t last_sent_ = 0;
  std::uint64_t last_answered_ = 0;
  std::string incarnation_;
  base::time_point expiry_;
};

}  // namespace chivecrank::protocol

#endif  // CHIVECRANK_PROTOCOL_WORKER_LEASE_H_
