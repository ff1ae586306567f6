#include "chivecrank/objectives/request_metrics.h"

#include <prometheus/text_serializer.h>

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

namespace chivecrank::objectives {

BOOST_AUTO_TEST_SUITE(request_metrics_suite)

BOOST_AUTO_TEST_CASE(CountsRequestsOfConcurrentThreadsByLabel) {
  prometheus::Registry registry;
  request_metrics metrics(registry);
  constexpr int thread_count = 4;
  constexpr int count_each = 50;
  std::vector<std::thread> threads;
  threads.reserve(thread_count);
  for (int i = 0; i < thread_count; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < count_each; ++j)
        metrics.Observe({"dispatch", "hotel", "completed",
                         std::chrono::microseconds(20'000), true});
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  const std::string text =
      prometheus::TextSerializer().Serialize(registry.Collect());
  BOOST_TEST(text.find("chivecrank_requests_total{account=\"hotel\",in_"
                       "objective=\"true\",outcome=\"completed\",service="
                       "\"dispatch\"} 200") != std::string::npos,
             text);
  BOOST_TEST(text.find("le=\"0.025\"} 200") != std::string::npos, text);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::objectives
