#include "chivecrank/configuration/repository.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/platform/memory_store.h"
#include "tests/sample.h"

namespace chivecrank::configuration {
namespace {

struct fixture {
  base::manual_clock clock;
  platform::memory_store store{clock};
  int writes = 0;
  repository accepted{store, clock,
                      [this] { return "w" + std::to_string(++writes); }};

  base::result<snapshot> Propose(revision base, const std::string& author) {
    return accepted.Accept({base, author, "", SampleContent()});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(repository_suite, fixture)

BOOST_AUTO_TEST_CASE(RevisionsGrowAndStayInHistory) {
  for (revision base = 0; base < 3; ++base)
    BOOST_TEST(Propose(base, "mere").value().revision == base + 1);
  const auto history = accepted.History().value();
  BOOST_REQUIRE(history.size() == 3);
  for (revision number = 1; number <= 3; ++number) {
    BOOST_TEST(history[number - 1].revision == number);
    BOOST_TEST(accepted.At(number).value().revision == number);
  }
}

BOOST_AUTO_TEST_CASE(LaterOperatorGetsAConflictWithTheAuthor) {
  BOOST_REQUIRE(Propose(0, "mere").has_value());
  const auto late = Propose(0, "jone");
  BOOST_TEST((late.error().kind == base::error_kind::kConflict));
  BOOST_TEST(late.error().message.find("1 by mere") != std::string::npos);
  BOOST_TEST(accepted.History().value().size() == 1);
}

BOOST_AUTO_TEST_CASE(FaultyProposalChangesNothing) {
  content all = SampleContent();
  all.teams.clear();
  const auto refused = accepted.Accept({0, "mere", "", all});
  BOOST_TEST((refused.error().kind == base::error_kind::kInvalidArgument));
  BOOST_TEST(accepted.Head().value().revision == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::configuration
