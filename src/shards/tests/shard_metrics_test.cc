#include "chivecrank/shards/shard_metrics.h"

#include <prometheus/text_serializer.h>

#include <boost/test/unit_test.hpp>

namespace chivecrank::shards {

BOOST_AUTO_TEST_SUITE(shard_metrics_suite)

BOOST_AUTO_TEST_CASE(GaugeOfStateWithoutTasksReturnsToZero) {
  prometheus::Registry registry;
  shard_metrics metrics(registry);
  shard_totals totals;
  totals.tasks[scheduling::task_state::kRunning] = 3;
  metrics.Update(totals);
  metrics.Update({});
  const std::string text =
      prometheus::TextSerializer().Serialize(registry.Collect());
  BOOST_TEST(text.find("chivecrank_scheduler_tasks{state=\"running\"} 0") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::shards
