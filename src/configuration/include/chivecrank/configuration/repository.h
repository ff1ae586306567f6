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

/// The key of the newest accepted configuration.
inline constexpr char kHeadKey[] = "configuration/head";
/// Prefix of the accepted configurations before the newest one.
inline constexpr char kHistoryPrefix[] = "configuration/history/";

/// A change that an operator proposes on top of a revision.
struct proposal {
  revision base = 0;
  std::string author;
  std::string comment;
  configuration::content content;
  /// Chosen by whoever proposes, so that the same proposal can be sent again
  /// when its answer was lost; a new one is made when it is empty.
  std::string write_id;
};

/// How long the repository tries to find out what became of a write.
struct settle_settings {
  std::chrono::milliseconds limit{5000};
  std::chrono::milliseconds first_pause{20};
  std::chrono::milliseconds longest_pause{500};
};

/// Accepted configurations in the platform's store: one head record, swapped
/// by compare-and-swap, and a history record for each revision before it.
class repository {
 public:
  /// `new_write_id` returns an identifier that no other write has.
  repository(coordination::store& store,
             base::clock& clock,
             std::function<std::string()> new_write_id,
             settle_settings settling = {});

  /// The newest accepted configuration; revision 0 when there is none.
  base::result<snapshot> GetHead();

  /// Validates and accepts a proposal; returns it with its revision. A
  /// proposal that was accepted before under its write id is returned again.
  /// kInvalidArgument: it has faults. kConflict: the head is another revision
  /// than `base`. kOutcomeUnknown: the store did not tell whether it took it.
  base::result<snapshot> Accept(const proposal& change);

  /// A past or the newest revision. kNotFound when there is none such.
  base::result<snapshot> GetRevision(revision number);

  /// All accepted revisions, oldest first.
  base::result<std::vector<snapshot>> ListRevisions();

 private:
  base::result<void> Archive(const snapshot& head);
  base::result<snapshot> AcceptedBefore(const proposal& change,
                                        const snapshot& head);
  base::result<snapshot> Settle(const snapshot& written,
                                coordination::version expected);
  std::optional<base::result<snapshot>> TryToSettle(
      const snapshot& written,
      coordination::version expected);

  coordination::store& store_;
  base::clock& clock_;
  std::function<std::string()> new_write_id_;
  const settle_settings settling_;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_REPOSITORY_H_
