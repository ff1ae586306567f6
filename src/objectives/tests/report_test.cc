#include <boost/test/unit_test.hpp>
#include <sstream>

#include "chivecrank/objectives/alert_rules.h"
#include "chivecrank/objectives/burn.h"
#include "chivecrank/objectives/html_report.h"
#include "chivecrank/objectives/sample_codec.h"
#include "chivecrank/objectives/text_report.h"

namespace chivecrank::objectives {
namespace {

const service_objective kObjective{"dispatch", 0.99,
                                   std::chrono::milliseconds(250)};

std::string Lines() {
  std::string text = EncodeLine(kObjective) + "\n";
  for (int minute = 0; minute < 3; ++minute) {
    text += EncodeLine(counter_sample{minute * 60'000, "e-1", "dispatch", "a<b",
                                      "unknown", false, minute * 10.0}) +
            "\n";
  }
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(report_suite)

BOOST_AUTO_TEST_CASE(SamplesRoundTripIntoEveryFormat) {
  std::istringstream input(Lines());
  const auto read = ReadSamples(input);
  BOOST_REQUIRE(read.has_value());
  const burn_report report =
      ComputeBurn(read.value().objectives, read.value().samples);
  BOOST_TEST(TextReport(report).find("bad 20,") != std::string::npos);
  const auto json = JsonReport(report);
  BOOST_TEST(http::ArrayOf(json, "services")->size() == 1);
  const std::string page = HtmlReport(report);
  BOOST_TEST(page.find("<svg") != std::string::npos);
  BOOST_TEST(page.find("a&lt;b") != std::string::npos);
  BOOST_TEST(page.find("http") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(InvalidLineErrorNamesLineNumber) {
  std::istringstream input(Lines() + "{\"format\":1,\"kind\":\"x\"}\n");
  const auto read = ReadSamples(input);
  BOOST_TEST(read.error().message == "line 5: no service");
}

BOOST_AUTO_TEST_CASE(AlertRulesUseWindowsAndRatesOfReport) {
  const std::string rules = AlertRules({kObjective});
  BOOST_TEST(rules.find("[60m]") != std::string::npos);
  BOOST_TEST(rules.find(">= 14.4") != std::string::npos);
  BOOST_TEST(rules.find("severity: ticket") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::objectives
