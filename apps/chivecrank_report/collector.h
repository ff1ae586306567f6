#ifndef CHIVECRANK_APPS_CHIVECRANK_REPORT_COLLECTOR_H_
#define CHIVECRANK_APPS_CHIVECRANK_REPORT_COLLECTOR_H_

#include <chrono>
#include <ostream>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"
#include "chivecrank/settings/types.h"

namespace chivecrank {

/// What is collected, and how often.
struct collector_options {
  /// Status addresses of the entries.
  std::vector<settings::endpoint> targets;
  settings::endpoint admin;
  /// Token of an operator with the role viewer.
  std::string token;
  std::chrono::milliseconds period{15'000};
  /// How often to read every target.
  int rounds = 1;
};

/// Reads the objectives from the administration API and the counters from the
/// daemons' /metrics, and writes both as lines of samples. A daemon that does
/// not answer is named on standard error and tried again in the next round.
class collector {
 public:
  collector(base::clock& clock, collector_options options);

  /// kUnavailable, kUnauthenticated: the objectives can't be read.
  base::result<void> Run(std::ostream& output);

 private:
  base::result<void> WriteObjectives(std::ostream& output);
  void WriteCounters(const settings::endpoint& target, std::ostream& output);

  base::clock& clock_;
  const collector_options options_;
};

}  // namespace chivecrank

#endif  // CHIVECRANK_APPS_CHIVECRANK_REPORT_COLLECTOR_H_
