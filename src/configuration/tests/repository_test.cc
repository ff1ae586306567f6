#include "chivecrank/configuration/repository.h"

#include <boost/test/unit_test.hpp>
#include <utility>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/coordination/memory_store.h"
#include "tests/sample.h"

namespace chivecrank::configuration {
namespace {

/// Failure of the next write of the head.
enum class head_write_failure {
  kNone,
  kResponseLost,
  kArrivesLate,
  kNeverArrives
};

/// A store that fails one write of the head with kOutcomeUnknown.
class faulty_store final : public coordination::memory_store {
 public:
  using memory_store::memory_store;

  base::result<coordination::version> Put(
      coordination::call_class purpose,
      const coordination::put_request& write) override {
    if (write.key != kHeadKey || next_failure == head_write_failure::kNone)
      return memory_store::Put(purpose, write);
    const head_write_failure failure =
        std::exchange(next_failure, head_write_failure::kNone);
    if (failure == head_write_failure::kResponseLost)
      static_cast<void>(memory_store::Put(purpose, write));
    if (failure == head_write_failure::kArrivesLate)
      late_write = write;
    return base::error{base::error_kind::kOutcomeUnknown, "lost", ""};
  }

  bool ApplyLateWrite() {
    return memory_store::Put(coordination::call_class::kConfiguration,
                             late_write)
        .has_value();
  }

  head_write_failure next_failure = head_write_failure::kNone;
  coordination::put_request late_write;
};

struct fixture {
  base::manual_clock clock;
  faulty_store store{clock};
  int writes = 0;
  repository configurations{store, clock,
                            [this] { return "w" + std::to_string(++writes); }};

  base::result<snapshot> Propose(revision base, const std::string& author) {
    return configurations.Accept({base, author, "", SampleContent()});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(repository_suite, fixture)

BOOST_AUTO_TEST_CASE(AcceptedRevisionsIncreaseAndStayInTheHistory) {
  for (revision base = 0; base < 3; ++base)
    BOOST_TEST(Propose(base, "mere").value().revision == base + 1);
  const auto history = configurations.ListRevisions().value();
  BOOST_REQUIRE(history.size() == 3);
  for (revision number = 1; number <= 3; ++number) {
    BOOST_TEST(history[number - 1].revision == number);
    BOOST_TEST(configurations.GetRevision(number).value().revision == number);
  }
}

BOOST_AUTO_TEST_CASE(ProposalOnAnOldRevisionConflictsAndNamesTheNewerAuthor) {
  BOOST_REQUIRE(Propose(0, "mere").has_value());
  const auto conflict = Propose(0, "jone");
  BOOST_TEST((conflict.error().kind == base::error_kind::kConflict));
  BOOST_TEST(conflict.error().message.find("1 by mere") != std::string::npos);
  BOOST_TEST(configurations.ListRevisions().value().size() == 1);
}

BOOST_AUTO_TEST_CASE(InvalidProposalIsRejectedAndChangesNothing) {
  content all = SampleContent();
  all.teams.clear();
  const auto rejected = configurations.Accept({0, "mere", "", all});
  BOOST_TEST((rejected.error().kind == base::error_kind::kInvalidArgument));
  BOOST_TEST(configurations.GetHead().value().revision == 0);
}

BOOST_AUTO_TEST_CASE(ProposalIsAcceptedOnceWhenTheResponseIsLost) {
  store.next_failure = head_write_failure::kResponseLost;
  BOOST_TEST(Propose(0, "mere").value().revision == 1);
  BOOST_TEST(configurations.ListRevisions().value().size() == 1);
}

BOOST_AUTO_TEST_CASE(LateWriteFailsAfterItsProposalWasReportedAsNotAccepted) {
  for (revision base = 0; base < 2; ++base) {
    store.next_failure = head_write_failure::kArrivesLate;
    const auto result = Propose(base, "mere");
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().kind == base::error_kind::kUnavailable));
    BOOST_TEST(!store.ApplyLateWrite());
    BOOST_TEST(configurations.GetHead().value().revision == base);
    BOOST_REQUIRE(Propose(base, "mere").has_value());
  }
}

BOOST_AUTO_TEST_CASE(ProposalWithTheSameWriteIdIsAcceptedOnce) {
  const proposal change{0, "mere", "", SampleContent(), "chosen"};
  BOOST_TEST(configurations.Accept(change).value().revision == 1);
  BOOST_TEST(configurations.Accept(change).value().revision == 1);
  BOOST_REQUIRE(Propose(1, "jone").has_value());
  BOOST_TEST(configurations.Accept(change).value().revision == 1);
  BOOST_TEST(configurations.ListRevisions().value().size() == 2);
}

BOOST_AUTO_TEST_CASE(ConfigurationLargerThanTheStoreLimitIsRejected) {
  content all = SampleContent();
  all.services[0].parameters[0].default_value.assign(std::size_t{1} << 20, 'x');
  const auto rejected = configurations.Accept({0, "mere", "", all});
  BOOST_TEST((rejected.error().kind == base::error_kind::kInvalidArgument));
  BOOST_TEST(configurations.GetHead().value().revision == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::configuration
