#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <string>

#include "chivecrank/runtime/instance_metrics.h"

namespace chivecrank::runtime {

BOOST_AUTO_TEST_SUITE(instance_metrics_suite)

BOOST_AUTO_TEST_CASE(DocumentationListsEveryMetricFamily) {
  std::ifstream page(std::string(CHIVECRANK_SOURCE_DIR) +
                     "/docs/operations/platform.md");
  const std::string text((std::istreambuf_iterator<char>(page)),
                         std::istreambuf_iterator<char>());
  for (const metric_description& metric : instance_metrics::Descriptions()) {
    const std::string row = "| `" + std::string(metric.name) + "` | " +
                            std::string(metric.labels) + " | " +
                            std::string(metric.help) + " |";
    BOOST_TEST(text.find(row) != std::string::npos, row);
  }
}

BOOST_AUTO_TEST_CASE(TextContainsRecordedMetrics) {
  instance_metrics metrics;
  metrics.OnSubmitAnswer("accepted", std::chrono::milliseconds(7));
  metrics.SetReady(true);
  const std::string text = metrics.Text();
  BOOST_TEST(
      text.find("chivecrank_submission_answers_total{answer=\"accepted\"} 1") !=
      std::string::npos);
  BOOST_TEST(text.find("chivecrank_submission_answer_seconds_bucket") !=
             std::string::npos);
  BOOST_TEST(text.find("chivecrank_state{what=\"ready\"} 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
