#include "chivecrank/settings/document.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::settings {
namespace {

constexpr integer_range kPercent{0, 100};
constexpr number_range kShare{0, 1};

}  // namespace

BOOST_AUTO_TEST_SUITE(document_suite)

BOOST_AUTO_TEST_CASE(ValuesAndNestedTablesAreRead) {
  document file = document::FromText(
      "name = \"i-1\"\n[limits]\nshare = 40\n[server]\nlisten = "
      "\"127.0.0.1:80\"\n",
      "a.toml");
  section root = file.Root();
  BOOST_TEST(root.String("name") == "i-1");
  BOOST_TEST(root.Table("limits").Integer("share", kPercent) == 40);
  BOOST_TEST(ToString(root.Table("server").Endpoint("listen")) ==
             "127.0.0.1:80");
  BOOST_TEST(file.Finish().empty());
}

BOOST_AUTO_TEST_CASE(EveryProblemNamesLineKeyAndRemedy) {
  document file = document::FromText(
      "name = 3\n[limits]\nshare = 400\nextra = 1\n", "a.toml");
  section root = file.Root();
  root.String("name");
  root.Table("limits").Integer("share", kPercent);
  const auto problems = file.Finish();
  BOOST_REQUIRE(problems.size() == 3);
  BOOST_TEST(Describe(problems[0]) ==
             "a.toml:1: name: has the wrong type; give a string here");
  BOOST_TEST(Describe(problems[1]) ==
             "a.toml:3: limits.share: is 400, out of range; give a value from "
             "0 to 100");
  BOOST_TEST(Describe(problems[2]) ==
             "a.toml:4: limits.extra: is not a known key; remove it or correct "
             "its spelling");
}

BOOST_AUTO_TEST_CASE(InvalidOrMissingOptionalNumbersYieldTheFallback) {
  document file =
      document::FromText("high = 4.5\nword = \"x\"\nwhole = 1\n", "a.toml");
  section root = file.Root();
  BOOST_TEST(root.NumberOr("absent", kShare, 0.25) == 0.25);
  BOOST_TEST(root.NumberOr("whole", kShare, 0.25) == 1.0);
  BOOST_TEST(root.NumberOr("high", kShare, 0.25) == 0.25);
  BOOST_TEST(root.NumberOr("word", kShare, 0.25) == 0.25);
  const auto problems = file.Finish();
  BOOST_REQUIRE(problems.size() == 2);
  BOOST_TEST(problems[0].key == "high");
  BOOST_TEST(problems[1].key == "word");
}

BOOST_AUTO_TEST_CASE(SyntaxErrorIsReportedAsASingleProblem) {
  document file = document::FromText("name = \n", "a.toml");
  section root = file.Root();
  root.String("name");
  BOOST_TEST(file.Finish().size() == 1);
}

BOOST_AUTO_TEST_CASE(MalformedEndpointsAreRejected) {
  for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:0",
                           "1.2.3.4.5:80", "300.0.0.1:80"}) {
    document file =
        document::FromText("at = \"" + std::string(text) + "\"\n", "a.toml");
    section root = file.Root();
    root.Endpoint("at");
    BOOST_TEST(file.Finish().size() == 1, text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::settings
