#ifndef CHIVECRANK_CONFIGURATION_REPOSITORY_H_
#define CHIVECRANK_CONFIGURATION_REPOSITORY_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"
#include "chivecrank/configuration/types.h"
#include "chivecrank/coordination/store.h"

namespace chivecrank::configuration {

/// Store key of the head, the newest accepted configuration.
inline constexpr char kHeadKey[] = "configuration/head";
/// Prefix of the store keys of earlier accepted configurations.
inline constexpr char kHistoryPrefix[] = "configuration/history/";

/// A configuration that an operator proposes to replace revision `base`.
struct proposal {
  revision base = 0;
  std::string author;
  std::string comment;
  configuration::content content;
  /// Chosen by the caller, so that the same proposal can be sent again if the
  /// response was lost. If empty, the repository generates one.
  std::string write_id;
};

/// Limits for finding out whether a write took effect.
struct outcome_check_settings {
  std::chrono::milliseconds timeout{5000};
  std::chrono::milliseconds initial_delay{20};
  std::chrono::milliseconds max_delay{500};
};

/// The accepted configurations in the platform's store: one head record,
/// replaced by compare-and-swap, and a history record for each earlier
/// revision.
class repository {
 public:
  /// `new_write_id` must return a different identifier for each call.
  repository(coordination::store& store,
             base::clock& clock,
             std::function<std::string()> new_write_id,
             outcome_check_settings outcome_check = {});

  /// Returns the newest accepted configuration, or revision 0 if there is none.
  base::result<snapshot> GetHead();

  /// Validates and accepts a proposal; returns it with its revision. If a
  /// proposal with the same write id was accepted before, returns that one.
  /// kInvalidArgument: the proposal is invalid. kConflict: the revision of the
  /// head is not `base`. kOutcomeUnknown: it could not be determined whether
  /// the write took effect.
  base::result<snapshot> Accept(const proposal& change);

  /// Returns an earlier or the newest revision. kNotFound if it does not exist.
  base::result<snapshot> GetRevision(revision number);

  /// Returns all accepted revisions, oldest first.
  base::result<std::vector<snapshot>> ListRevisions();

 private:
  base::result<void> Archive(const snapshot& head);
  base::result<snapshot> FindEarlierAcceptance(const proposal& change,
                                               const snapshot& head);
  base::result<snapshot> ResolveOutcome(const snapshot& written,
                                        coordination::version expected);
  std::optional<base::result<snapshot>> TryResolveOutcome(
      const snapshot& written,
      coordination::version expected);

  coordination::store& store_;
  base::clock& clock_;
  std::function<std::string()> new_write_id_;
  const outcome_check_settings outcome_check_;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_REPOSITORY_H_
