#ifndef CHIVECRANK_SUBMISSIONS_INTERFERENCE_ESTIMATE_H_
#define CHIVECRANK_SUBMISSIONS_INTERFERENCE_ESTIMATE_H_

#include <string>

namespace chivecrank::submissions {

/// What is believed of a filling image's effect on a service's image: the
/// pressure that it adds when it uses a whole worker, and how uncertain that
/// is.
struct interference_estimate {
  std::string service_image;
  std::string filling_image;
  double slope = 0;
  double variance = 0;
};

}  // namespace chivecrank::submissions

#endif  // CHIVECRANK_SUBMISSIONS_INTERFERENCE_ESTIMATE_H_
