#ifndef CHIVECRANK_CONFIGURATION_REPOSITORY_H_
#define CHIVECRANK_CONFIGURATION_REPOSITORY_H_

#include <functional>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"
#include "chivecrank/configuration/types.h"
#include "chivecrank/platform/store.h"

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
};

/// Accepted configurations in the platform's store: one head record, swapped
/// by compare-and-swap, and a history record for each revision before it.
class repository {
 public:
  /// `new_write_id` returns an identifier that no other write has.
  repository(platform::store& store,
             base::clock& clock,
             std::function<std::string()> new_write_id);

  /// The newest accepted configuration; revision 0 when there is none.
  base::result<snapshot> Head();

  /// Validates and accepts a proposal; returns it with its revision.
  /// kInvalidArgument: it has faults. kConflict: the head is another revision
  /// than `base`. kOutcomeUnknown: the store did not tell whether it took it.
  base::result<snapshot> Accept(const proposal& change);

  /// A past or the newest revision. kNotFound when there is none such.
  base::result<snapshot> At(revision number);

  /// All accepted revisions, oldest first.
  base::result<std::vector<snapshot>> History();

 private:
  base::result<void> Archive(const snapshot& head);
  base::result<snapshot> ReadBack(const snapshot& written);

  platform::store& store_;
  base::clock& clock_;
  std::function<std::string()> new_write_id_;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_REPOSITORY_H_
