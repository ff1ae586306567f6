#include "chivecrank/objectives/burn.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::objectives {
namespace {

constexpr std::int64_t kMinute = 60'000;

counter_sample Sample(std::int64_t minute, bool good, double value) {
  return {minute * kMinute, "e-1", "dispatch", good ? "hotel" : "ridge",
          "completed",      good,  value};
}

service_burn BurnOf(std::vector<counter_sample> samples) {
  return ComputeBurn({{"dispatch", 0.99, std::chrono::milliseconds(250)}},
                     std::move(samples))
      .services.at(0);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(burn_suite)

BOOST_AUTO_TEST_CASE(BurnRateIsBadShareDividedByAllowedShare) {
  const service_burn burn =
      BurnOf({Sample(0, true, 1000), Sample(0, false, 0), Sample(4, true, 1098),
              Sample(4, false, 2)});
  BOOST_TEST(burn.requests.total == 100);
  BOOST_TEST(burn.windows[0].burn_rate == 2,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(burn.budget_left == -1, boost::test_tools::tolerance(1e-9));
  BOOST_REQUIRE(burn.worst_accounts.size() == 1);
  BOOST_TEST(burn.worst_accounts[0].account == "ridge");
}

BOOST_AUTO_TEST_CASE(RestartedCounterCountsFromZero) {
  const service_burn burn =
      BurnOf({Sample(0, true, 1000), Sample(1, true, 1010), Sample(2, true, 5),
              Sample(3, true, 7)});
  BOOST_TEST(burn.requests.total == 17);
}

BOOST_AUTO_TEST_CASE(CounterFirstSeenAfterItsSourceCountsFromZero) {
  const service_burn burn =
      BurnOf({Sample(0, true, 10), Sample(1, true, 12), Sample(1, false, 3)});
  BOOST_TEST(burn.requests.total == 5);
  BOOST_TEST(burn.requests.Bad() == 3);
}

BOOST_AUTO_TEST_CASE(PageAlertRequiresBothWindowsAboveBurnRate) {
  std::vector<counter_sample> recovered = {Sample(0, true, 0),
                                           Sample(0, false, 0)};
  recovered.push_back(Sample(10, false, 50));
  recovered.push_back(Sample(10, true, 50));
  recovered.push_back(Sample(50, true, 150));
  BOOST_TEST((BurnOf(recovered).alert != alert_severity::kPage));
  recovered.push_back(Sample(50, false, 80));
  BOOST_TEST((BurnOf(recovered).alert == alert_severity::kPage));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::objectives
