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
  metrics.OnCancelAnswer("unknown");
  metrics.SetReady(true);
  const std::string text = metrics.Text();
  BOOST_TEST(
      text.find("chivecrank_submission_answers_total{answer=\"accepted\"} 1") !=
      std::string::npos);
  BOOST_TEST(
      text.find("chivecrank_cancel_answers_total{answer=\"unknown\"} 1") !=
      std::string::npos);
  BOOST_TEST(text.find("chivecrank_submission_answer_seconds_bucket") !=
             std::string::npos);
  BOOST_TEST(text.find("chivecrank_state{what=\"ready\"} 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ImagesAreNoLabels) {
  using submissions::scheduler_event_kind;
  instance_metrics metrics;
  for (const auto kind : {scheduler_event_kind::kBestEffortThrottled,
                          scheduler_event_kind::kBestEffortMoved,
                          scheduler_event_kind::kTaskEvacuated,
                          scheduler_event_kind::kStalledTaskMoved,
                          scheduler_event_kind::kDomainTaskMoved})
    metrics.OnSchedulerEvent({.kind = kind, .outcome = "some-image"});
  BOOST_TEST(metrics.Text().find("some-image") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ADrainIsShownForAsLongAsItLasts) {
  instance_metrics metrics;
  metrics.SetDrains({{.failure_domain = "north", .long_running = 7}});
  const std::string sample =
      "chivecrank_domain_drain{domain=\"north\",what=\"long_running\"} 7";
  BOOST_TEST(metrics.Text().find(sample) != std::string::npos);
  metrics.SetDrains({});
  BOOST_TEST(metrics.Text().find("north") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
