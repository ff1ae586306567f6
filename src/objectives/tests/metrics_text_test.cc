#include "chivecrank/objectives/metrics_text.h"

#include <prometheus/text_serializer.h>

#include <boost/test/unit_test.hpp>

#include "chivecrank/objectives/request_metrics.h"

namespace chivecrank::objectives {

BOOST_AUTO_TEST_SUITE(metrics_text_suite)

BOOST_AUTO_TEST_CASE(ParsesRequestCountersFromMetricsText) {
  prometheus::Registry registry;
  request_metrics metrics(registry);
  metrics.Observe({"dispatch", "hotel", "completed", {}, true});
  metrics.Observe({"dispatch", "hotel", "unknown", {}, false});
  metrics.Observe({"dispatch", "hotel", "unknown", {}, false});
  const auto samples = ReadRequestCounters(
      prometheus::TextSerializer().Serialize(registry.Collect()), "e-1", 7);
  BOOST_REQUIRE(samples.size() == 2);
  const counter_sample& bad = samples[samples[0].in_objective ? 1 : 0];
  BOOST_TEST(bad.service == "dispatch");
  BOOST_TEST(bad.account == "hotel");
  BOOST_TEST(bad.outcome == "unknown");
  BOOST_TEST(bad.value == 2);
  BOOST_TEST(bad.at_ms == 7);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::objectives
