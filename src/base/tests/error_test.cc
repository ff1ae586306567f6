#include "chivecrank/base/error.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::base {

BOOST_AUTO_TEST_SUITE(error_suite)

BOOST_AUTO_TEST_CASE(ErrorKindNamesRoundTrip) {
  for (int value = 0; value <= static_cast<int>(error_kind::kInternal);
       ++value) {
    const auto kind = static_cast<error_kind>(value);
    BOOST_TEST((ErrorKindFromName(ErrorKindName(kind)) == kind));
  }
}

BOOST_AUTO_TEST_CASE(DescriptionContainsKindMessageAndRemedy) {
  const error failure{error_kind::kTimeout, "no answer", "ask again"};
  BOOST_TEST(Describe(failure) == "timeout: no answer; ask again");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::base
