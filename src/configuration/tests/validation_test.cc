#include "chivecrank/configuration/validation.h"

#include <boost/test/unit_test.hpp>

#include "tests/sample.h"

namespace chivecrank::configuration {

BOOST_AUTO_TEST_SUITE(validation_suite)

BOOST_AUTO_TEST_CASE(ValidConfigurationHasNoErrors) {
  BOOST_TEST(Describe(Validate(SampleContent())) == "");
}

BOOST_AUTO_TEST_CASE(ErrorNamesKeyValueAndRemedy) {
  content all = SampleContent();
  all.accounts[0].parameters[0].value = "900";
  BOOST_TEST(Describe(Validate(all)) ==
             "accounts.hotel-watch.parameters.stops: 900; give an integer "
             "from 1 to 500");
}

BOOST_AUTO_TEST_CASE(AllErrorsOfAConfigurationAreReported) {
  content all = SampleContent();
  all.accounts[0].team = "nobody";
  all.accounts[0].token_hash = "secret";
  all.jobs[0].demand = {};
  all.services.push_back(all.services[0]);
  BOOST_TEST(Validate(all).size() == 4);
}

BOOST_AUTO_TEST_CASE(ErrorTextDoesNotContainTheTokenHash) {
  content all = SampleContent();
  all.accounts[0].token_hash = "secret";
  BOOST_TEST(Describe(Validate(all)).find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::configuration
