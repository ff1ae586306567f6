#ifndef CHIVECRANK_BASE_RESULT_H_
#define CHIVECRANK_BASE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include "chivecrank/base/error.h"

namespace chivecrank::base {

/// A value or an error. Accessing the one that is not there terminates the
/// program.
template <class T>
using result = boost::outcome_v2::
    basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Successful value of result<void>.
inline auto Success() {
  return boost::outcome_v2::success();
}

}  // namespace chivecrank::base

#endif  // CHIVECRANK_BASE_RESULT_H_
