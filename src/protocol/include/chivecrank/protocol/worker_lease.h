#ifndef CHIVECRANK_PROTOCOL_WORKER_LEASE_H_
#define CHIVECRANK_PROTOCOL_WORKER_LEASE_H_

#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/protocol/types.h"

namespace chivecrank::protocol {

/// The owner's side: the syncs it sends to one worker, and when the attempts
/// there are over for certain though the worker says nothing.
class worker_lease {
 public:
  /// `opened`: a moment after the former owner's lease had ended.
  worker_lease(std::uint64_t epoch, lease_terms terms, base::time_point opened);

  /// The order of the next sync.
  sync_sequence NextSync();

  /// Takes the answer to a sync. Returns false for one that came after the
  /// answer to a later sync, which must be ignored.
  bool OnAnswer(std::uint64_t number,
                const std::string& incarnation,
                base::time_point now);

  /// Whether the worker has answered in this epoch, so that the next sync
  /// renews its lease.
  bool HasAnswered() const { return answered_ != 0; }

  /// Whether no attempt that was started under this or an earlier epoch can
  /// run on the worker any more.
  bool HasExpired(base::time_point now) const { return now > over_; }

  /// Canonical text of the state, to compare states by.
  std::string Fingerprint() const;

 private:
  std::uint64_t epoch_;
  lease_terms terms_;
  std::uint64_t last_sent_ = 0;
  std::uint64_t answered_ = 0;
  std::string incarnation_;
  base::time_point over_;
};

}  // namespace chivecrank::protocol

#endif  // CHIVECRANK_PROTOCOL_WORKER_LEASE_H_
