#ifndef CHIVECRANK_OWNERSHIP_SESSION_H_
#define CHIVECRANK_OWNERSHIP_SESSION_H_

#include <memory>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/protocol/ownership_lease.h"

namespace chivecrank::ownership {

/// How long a session lasts without renewal.
struct session_settings {
  std::chrono::milliseconds term{6000};
  /// Taken off the term on this side, for clocks that run apart.
  std::chrono::milliseconds clock_margin{1000};
  /// How long leases of workers are renewed while the store can't be reached.
  std::chrono::milliseconds outage_grace{60'000};
};

/// The lease in the store under which a process run holds its shards. One
/// lease serves all of them. Not safe to use from several threads.
class session {
 public:
  /// `run` identifies this process run.
  session(coordination::store& store,
          base::clock& clock,
          session_settings settings,
          std::string run,
          std::string instance);

  /// Takes or renews the lease. After kNotFound everything held is lost.
  base::result<void> Renew();

  /// Whether the lease certainly still holds. Check it after every wait.
  bool IsValid() const;

  /// The lease held now; another one after it was lost. Null before the first.
  std::shared_ptr<const protocol::ownership_lease> current_lease() const {
    return held_;
  }

  /// Ends the lease, so that others may take over at once.
  void End();

  /// The key that exists as long as the lease.
  const std::string& holder_key() const { return holder_key_; }

 private:
  base::result<void> Begin();

  coordination::store& store_;
  base::clock& clock_;
  session_settings settings_;
  std::string run_;
  std::string instance_;
  std::string holder_key_;
  std::uint64_t generation_ = 0;
  coordination::lease_id lease_ = 0;
  std::shared_ptr<protocol::ownership_lease> held_;
};

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_SESSION_H_
