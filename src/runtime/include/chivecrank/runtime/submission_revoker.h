#ifndef CHIVECRANK_RUNTIME_SUBMISSION_REVOKER_H_
#define CHIVECRANK_RUNTIME_SUBMISSION_REVOKER_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/conditional_writer.h"

namespace chivecrank::runtime {

enum class revoke_outcome {
  /// No submission with this identifier is stored, nor will one be for at least
  /// three quarters of revoker_settings::lease_term.
  kRevoked,
  /// A submission with this identifier is stored.
  kStored,
  /// The identifier was not revoked.
  kUnavailable,
  /// The identifier may have been revoked, or may be revoked later.
  kOutcomeUnknown,
};

struct revoker_settings {
  /// Paced, so that a flood of cancellations leaves the store's write rate to
  /// submissions.
  conditional_writer_settings writer{
      .name = "revoke",
      .min_interval = std::chrono::milliseconds(100)};
  /// Term of the leases that revocations are attached to. A lease is used for
  /// new revocations in the first quarter of its term, so that each one lasts
  /// as long as the records of ended submissions.
  std::chrono::milliseconds lease_term{240'000};
  /// Time before a lease is requested again.
  std::chrono::milliseconds retry{300};
};

/// Revokes identifiers of submissions that aren't stored: a revocation makes
/// the writes of such a submission fail which are under way, in doubt or still
/// to come, at any instance. Revocations are no shared keys, so they cost
/// instances nothing; they are attached to a lease and deleted by the store.
/// Not thread-safe.
class submission_revoker {
 public:
  submission_revoker(reactor::event_loop& loop,
                     metadata::store& store,
                     event_log::event_log& log,
                     const revoker_settings& settings);

  /// Calls `done` by `give_up_at`.
  void Revoke(const std::string& id,
              base::time_point give_up_at,
              std::function<void(revoke_outcome)> done);

 private:
  struct held_lease {
    metadata::lease_id id = 0;
    base::time_point usable_until;
  };

  /// The lease for new revocations; requests one if there is none.
  std::optional<metadata::lease_id> Lease();
  void RequestLease();
  void OnLease(base::time_point requested_at,
               base::result<metadata::granted_lease> granted);

  reactor::event_loop& loop_;
  metadata::store& store_;
  event_log::event_log& log_;
  const revoker_settings settings_;
  conditional_writer writer_;
  std::optional<held_lease> lease_;
  bool requesting_ = false;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SUBMISSION_REVOKER_H_
