#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_LEASE_ESTIMATE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_LEASE_ESTIMATE_H_

#include <string_view>

#include "chivecrank/base/clock.h"

namespace chivecrank::submissions::internal {

/// What tells when a worker's lease ends.
enum class lease_basis {
  /// The longest lease that an earlier owner may have granted.
  kEarlierOwner,
  /// The same, for one that most workers follow no more.
  kWitnesses,
  /// A bound in the journal.
  kRecordedBound,
  /// What this instance remembers of the time when it owned the shard before.
  kOwnMemory,
  /// An answer to this owner: since then no earlier owner has renewed the
  /// lease.
  kAnswer,
  /// The newest lease that this owner sent.
  kOwnLease,
};

std::string_view LeaseBasisName(lease_basis value);

/// When a worker's lease ends at the latest, as far as its owner knows. No run
/// on the worker is alive after that.
class lease_estimate {
 public:
  base::time_point Expiry() const { return expiry_; }
  lease_basis Basis() const { return basis_; }

  /// Forgets what was known.
  void Assume(base::time_point expiry, lease_basis basis);
  /// The lease may last until then.
  void Extend(base::time_point expiry, lease_basis basis);
  /// The lease does not last any longer than that.
  void Restrict(base::time_point expiry, lease_basis basis);

 private:
  base::time_point expiry_;
  lease_basis basis_ = lease_basis::kEarlierOwner;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_LEASE_ESTIMATE_H_
