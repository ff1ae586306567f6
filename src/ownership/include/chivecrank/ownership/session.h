#ifndef CHIVECRANK_OWNERSHIP_SESSION_H_
#define CHIVECRANK_OWNERSHIP_SESSION_H_

#include <memory>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/protocol/ownership_lease.h"

namespace chivecrank::ownership {

/// Time limits of a session.
struct session_settings {
  /// How long the lease lasts without renewal.
  std::chrono::milliseconds term{6000};
  /// Subtracted from the term by the holder, as the clocks of holder and store
  /// may run at different rates.
  std::chrono::milliseconds clock_margin{1000};
  /// How long worker leases are still renewed while the store is unavailable.
  std::chrono::milliseconds outage_grace{60'000};
};

/// The lease in the store under which a process run owns its shards. One lease
/// covers all of them. Not thread-safe.
class session {
 public:
  /// `process_run` identifies this run of the process.
  session(coordination::store& store,
          base::clock& clock,
          session_settings settings,
          std::string process_run,
          std::string instance);

  /// Acquires or renews the lease. kNotFound: the lease has expired, and the
  /// ownership of all shards is lost.
  base::result<void> Renew();

  /// Whether the lease is certainly still valid. Check this again after every
  /// operation that may block.
  bool IsValid() const;

  /// The current lease; a new object after a lease was lost. Null before the
  /// first lease is granted.
  std::shared_ptr<const protocol::ownership_lease> current_lease() const {
    return ownership_lease_;
  }

  /// Revokes the lease, so that other processes can claim the shards at once.
  void End();

  /// Store key that exists as long as the lease.
  const std::string& holder_key() const { return holder_key_; }

 private:
  base::result<void> Acquire();

  coordination::store& store_;
  base::clock& clock_;
  session_settings settings_;
  std::string process_run_;
  std::string instance_;
  std::string holder_key_;
  std::uint64_t generation_ = 0;
  coordination::lease_id lease_ = 0;
  std::shared_ptr<protocol::ownership_lease> ownership_lease_;
};

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_SESSION_H_
