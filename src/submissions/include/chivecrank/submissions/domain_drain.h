#ifndef CHIVECRANK_SUBMISSIONS_DOMAIN_DRAIN_H_
#define CHIVECRANK_SUBMISSIONS_DOMAIN_DRAIN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "chivecrank/base/clock.h"

namespace chivecrank::submissions {

/// A failure domain that an operator has drained, as the owner of a shard sees
/// it: none of its workers gets a task.
struct domain_drain {
  std::string failure_domain;
  /// When this owner learned of it.
  base::time_point since;
  /// Workers of the shard in the domain; 0 may mean that no such domain exists.
  std::size_t workers = 0;
  /// Runs that are left there, by kind. A best-effort run is only counted as
  /// such.
  std::size_t long_running = 0;
  std::size_t ending = 0;
  std::size_t best_effort = 0;
  /// Long-running tasks that this owner has moved to other domains.
  std::int64_t moved = 0;
  /// Since when nothing runs there; unset while something does.
  std::optional<base::time_point> empty_since;

  std::size_t RunsLeft() const { return long_running + ending + best_effort; }
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_DOMAIN_DRAIN_H_
