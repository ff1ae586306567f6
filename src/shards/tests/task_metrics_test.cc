#include "chivecrank/shards/task_metrics.h"

#include <prometheus/text_serializer.h>

#include <boost/test/unit_test.hpp>

namespace chivecrank::shards {

BOOST_AUTO_TEST_SUITE(task_metrics_suite)

BOOST_AUTO_TEST_CASE(CountsEventsByKindAndOutcome) {
  prometheus::Registry registry;
  task_metrics metrics(registry);
  metrics.Count(
      scheduling::attempt_ended{"a", 1, scheduling::attempt_outcome::kCrashed});
  metrics.Count(
      scheduling::attempt_ended{"b", 1, scheduling::attempt_outcome::kCrashed});
  metrics.Count(scheduling::task_parked{"a", "fails"});
  const std::string text =
      prometheus::TextSerializer().Serialize(registry.Collect());
  const std::string name = "chivecrank_scheduler_task_events_total";
  BOOST_TEST(text.find(name + "{event=\"ended_crashed\"} 2") !=
             std::string::npos);
  BOOST_TEST(text.find(name + "{event=\"parked\"} 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::shards
