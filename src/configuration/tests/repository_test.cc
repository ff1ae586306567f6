#include "chivecrank/configuration/repository.h"

#include <boost/test/unit_test.hpp>
#include <utility>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/coordination/memory_store.h"
#include "tests/sample.h"

namespace chivecrank::configuration {
namespace {

/// What becomes of the next write of the head.
enum class head_fault { kNone, kAnswerLost, kArrivesLate, kNeverArrives };

/// A store that loses the answer of one write of the head.
class faulty_store final : public coordination::memory_store {
 public:
  using memory_store::memory_store;

  base::result<coordination::version> Put(
      coordination::call_class purpose,
      const coordination::put_request& write) override {
    if (write.key != kHeadKey || fault == head_fault::kNone)
      return memory_store::Put(purpose, write);
    const head_fault now = std::exchange(fault, head_fault::kNone);
    if (now == head_fault::kAnswerLost)
      static_cast<void>(memory_store::Put(purpose, write));
    if (now == head_fault::kArrivesLate)
      late = write;
    return base::error{base::error_kind::kOutcomeUnknown, "lost", ""};
  }

  bool LateArrives() {
    return memory_store::Put(coordination::call_class::kConfiguration, late)
        .has_value();
  }

  head_fault fault = head_fault::kNone;
  coordination::put_request late;
};

struct fixture {
  base::manual_clock clock;
  faulty_store store{clock};
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
  const auto history = accepted.ListRevisions().value();
  BOOST_REQUIRE(history.size() == 3);
  for (revision number = 1; number <= 3; ++number) {
    BOOST_TEST(history[number - 1].revision == number);
    BOOST_TEST(accepted.GetRevision(number).value().revision == number);
  }
}

BOOST_AUTO_TEST_CASE(LaterOperatorGetsAConflictWithTheAuthor) {
  BOOST_REQUIRE(Propose(0, "mere").has_value());
  const auto late = Propose(0, "jone");
  BOOST_TEST((late.error().kind == base::error_kind::kConflict));
  BOOST_TEST(late.error().message.find("1 by mere") != std::string::npos);
  BOOST_TEST(accepted.ListRevisions().value().size() == 1);
}

BOOST_AUTO_TEST_CASE(FaultyProposalChangesNothing) {
  content all = SampleContent();
  all.teams.clear();
  const auto refused = accepted.Accept({0, "mere", "", all});
  BOOST_TEST((refused.error().kind == base::error_kind::kInvalidArgument));
  BOOST_TEST(accepted.GetHead().value().revision == 0);
}

BOOST_AUTO_TEST_CASE(LostAnswerIsReadBack) {
  store.fault = head_fault::kAnswerLost;
  BOOST_TEST(Propose(0, "mere").value().revision == 1);
  BOOST_TEST(accepted.ListRevisions().value().size() == 1);
}

BOOST_AUTO_TEST_CASE(WriteThatMayArriveLateIsKeptOut) {
  for (revision base = 0; base < 2; ++base) {
    store.fault = head_fault::kArrivesLate;
    const auto lost = Propose(base, "mere");
    BOOST_REQUIRE(!lost.has_value());
    BOOST_TEST((lost.error().kind == base::error_kind::kUnavailable));
    BOOST_TEST(!store.LateArrives());
    BOOST_TEST(accepted.GetHead().value().revision == base);
    BOOST_REQUIRE(Propose(base, "mere").has_value());
  }
}

BOOST_AUTO_TEST_CASE(SameProposalIsAcceptedOnce) {
  const proposal change{0, "mere", "", SampleContent(), "chosen"};
  BOOST_TEST(accepted.Accept(change).value().revision == 1);
  BOOST_TEST(accepted.Accept(change).value().revision == 1);
  BOOST_REQUIRE(Propose(1, "jone").has_value());
  BOOST_TEST(accepted.Accept(change).value().revision == 1);
  BOOST_TEST(accepted.ListRevisions().value().size() == 2);
}

BOOST_AUTO_TEST_CASE(ConfigurationThatDoesNotFitTheStoreIsRefused) {
  content all = SampleContent();
  all.services[0].parameters[0].default_value.assign(std::size_t{1} << 20, 'x');
  const auto refused = accepted.Accept({0, "mere", "", all});
  BOOST_TEST((refused.error().kind == base::error_kind::kInvalidArgument));
  BOOST_TEST(accepted.GetHead().value().revision == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::configuration
