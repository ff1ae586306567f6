#ifndef CHIVECRANK_SUBMISSIONS_INTERFERENCE_ESTIMATE_H_
#define CHIVECRANK_SUBMISSIONS_INTERFERENCE_ESTIMATE_H_

#include <string>

namespace chivecrank::submissions {

/// Estimated effect of a best-effort image on a service image: the utilization
/// that it adds when it uses all processors of the worker, and the variance of
/// that estimate.
struct interference_estimate {
  std::string service_image;
  std::string best_effort_image;
  double slope = 0;
  double variance = 0;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_INTERFERENCE_ESTIMATE_H_
