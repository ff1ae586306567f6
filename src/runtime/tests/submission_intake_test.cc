#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

#include "chivecrank/runtime/submission_intake.h"
#include "tests/scripted_store_fixture.h"

namespace chivecrank::runtime {
namespace {

constexpr std::chrono::milliseconds kPatience{2850};
constexpr std::chrono::milliseconds kLongerThanARetry{200};
constexpr char kId[] = "5c0e7a21d94b36f8";
constexpr int kFlood = 2000;

/// One instance's intake, with its copy of the shared keys.
struct intake_instance {
  intake_instance(reactor::event_loop& loop,
                  base::clock& clock,
                  metadata::store& store,
                  event_log::event_log& log)
      : shared([&loop] { return loop.Now(); }),
        intake(loop, clock, store, shared, log, metrics, {}, [] {
          return true;
        }) {
    const std::string count = ToString({key_kind::kShardCount, "count"});
    shared.Apply({{count, "1", 1}, false});
  }

  replica shared;
  instance_metrics metrics;
  submission_intake intake;
};

/// Two instances and the store that they share.
struct fixture : scripted_store_fixture {
  static submissions::submission Submission(const std::string& id) {
    submissions::submission offered;
    offered.id = id;
    offered.queue = "watch";
    offered.steps.emplace_back();
    return offered;
  }

  void Submit(intake_instance& at) {
    submitted = std::nullopt;
    at.intake.Submit(Submission(kId), loop.Now() + kPatience,
                     [this](submit_answer answer) { submitted = answer; });
  }

  void Cancel(intake_instance& at) {
    cancelled = std::nullopt;
    at.intake.Cancel(kId, loop.Now() + kPatience,
                     [this](cancel_outcome outcome) { cancelled = outcome; });
  }

  bool IsCancelled(cancel_outcome outcome) const {
    return cancelled == outcome;
  }

  bool IsSubmitted(submit_outcome outcome) const {
    return submitted && submitted->verdict == outcome;
  }

  submission_state StateAt(intake_instance& at) {
    submission_state shown = submission_state::kUnavailable;
    at.intake.State(kId, [&](submission_state state) { shown = state; });
    store.AnswerCalls();
    return shown;
  }

  /// The instance receives all that the store holds.
  void Replicate(intake_instance& at) {
    for (const auto& [key, item] : store.items)
      at.shared.Apply({item, false});
  }

  /// Hands the submission in; its write gets no answer until the caller gives
  /// up. The transaction may be carried out late.
  metadata::transaction SubmitInDoubt(intake_instance& at) {
    Submit(at);
    metadata::transaction lost = store.LoseNext();
    Pass(kLongerThanARetry);
    store.LoseNext();
    Pass(kPatience);
    while (store.HasSent())
      store.LoseNext();
    BOOST_TEST(IsSubmitted(submit_outcome::kOutcomeUnknown));
    return lost;
  }

  /// Cancels the submission; no write of this gets an answer.
  metadata::transaction CancelInDoubt(intake_instance& at) {
    Cancel(at);
    store.AnswerCalls();
    metadata::transaction lost = store.LoseNext();
    while (!cancelled) {
      Pass(kLongerThanARetry);
      while (store.HasSent())
        store.LoseNext();
    }
    return lost;
  }

  bool IsStored() const {
    return store.items.contains(ToString({key_kind::kSubmission, kId}));
  }

  intake_instance here{loop, clock, store, log};
  intake_instance elsewhere{loop, clock, store, log};
  std::optional<submit_answer> submitted;
  std::optional<cancel_outcome> cancelled;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(submission_intake_suite, fixture)

/// Case 13 of the review: a write whose outcome was unknown was carried out
/// after the DELETE had been answered, and all of it ran.
BOOST_AUTO_TEST_CASE(AWriteInDoubtIsNotCarriedOutAfterTheCancellation) {
  const metadata::transaction late = SubmitInDoubt(here);
  Cancel(here);
  AnswerAll();
  BOOST_TEST(IsCancelled(cancel_outcome::kUnknownSubmission));
  BOOST_TEST(!store.Apply(late).applied);
  BOOST_TEST(!IsStored());
}

/// The same with a cancellation at another instance than the one that wrote.
BOOST_AUTO_TEST_CASE(AWriteInDoubtElsewhereIsNotCarriedOutEither) {
  const metadata::transaction late = SubmitInDoubt(here);
  Cancel(elsewhere);
  AnswerAll();
  BOOST_TEST(IsCancelled(cancel_outcome::kUnknownSubmission));
  BOOST_TEST(!store.Apply(late).applied);
}

/// A caller who is told 410 may hand the work in under another identifier.
BOOST_AUTO_TEST_CASE(TheStateOfASubmissionInDoubtIsNotTold) {
  const metadata::transaction late = SubmitInDoubt(here);
  BOOST_TEST((StateAt(here) == submission_state::kUnavailable));
  BOOST_TEST(store.Apply(late).applied);
  BOOST_TEST((StateAt(here) == submission_state::kQueued));
}

BOOST_AUTO_TEST_CASE(TheStateOfASubmissionThatIsBeingStoredIsNotTold) {
  Submit(here);
  BOOST_TEST((StateAt(here) == submission_state::kUnavailable));
  AnswerAll();
  BOOST_TEST((StateAt(here) == submission_state::kQueued));
}

BOOST_AUTO_TEST_CASE(ASubmissionInDoubtIsGoneOnceItIsCancelled) {
  SubmitInDoubt(here);
  Cancel(here);
  AnswerAll();
  BOOST_TEST((StateAt(here) == submission_state::kUnknown));
}

BOOST_AUTO_TEST_CASE(ASubmissionInDoubtIsGoneWhenItIsTooLateForItsWrite) {
  SubmitInDoubt(here);
  Pass(intake_settings{}.late_write_horizon);
  BOOST_TEST((StateAt(here) == submission_state::kUnknown));
}

/// Another instance can't know of the write; what it tells is of the moment.
BOOST_AUTO_TEST_CASE(TheStateElsewhereIsOfTheMoment) {
  const metadata::transaction late = SubmitInDoubt(here);
  BOOST_TEST((StateAt(elsewhere) == submission_state::kUnknown));
  BOOST_TEST(store.Apply(late).applied);
  BOOST_TEST((StateAt(elsewhere) == submission_state::kQueued));
}

/// review/more/cancelled-while-frozen: the request is read by an instance that
/// stood still while another one answered the DELETE.
BOOST_AUTO_TEST_CASE(ASubmissionThatIsReadAfterItsCancellationIsRejected) {
  Cancel(elsewhere);
  AnswerAll();
  BOOST_TEST(IsCancelled(cancel_outcome::kUnknownSubmission));
  Submit(here);
  AnswerAll();
  BOOST_TEST(IsSubmitted(submit_outcome::kRejected));
  BOOST_TEST(submitted->reason.has_value());
  BOOST_TEST(!IsStored());
  BOOST_TEST((StateAt(here) == submission_state::kUnknown));
}

/// The DELETE overtakes the POST, which still waits for the store.
BOOST_AUTO_TEST_CASE(ASubmissionThatStillWaitsIsRejectedAfterItsCancellation) {
  Submit(here);
  const metadata::transaction waiting = store.LoseNext();
  Cancel(here);
  AnswerAll();
  BOOST_TEST(IsCancelled(cancel_outcome::kUnknownSubmission));
  BOOST_TEST(!store.Apply(waiting).applied);
  Pass(kLongerThanARetry);
  AnswerAll();
  BOOST_TEST(IsSubmitted(submit_outcome::kRejected));
}

/// The POST's write comes first: what is cancelled is stored.
BOOST_AUTO_TEST_CASE(ASubmissionThatIsStoredMeanwhileIsCancelled) {
  Submit(here);
  Cancel(here);
  AnswerAll();
  BOOST_TEST(IsSubmitted(submit_outcome::kAccepted));
  BOOST_TEST(IsCancelled(cancel_outcome::kCancelled));
  BOOST_TEST(store.items.contains(ToString({key_kind::kCancellation, kId})));
}

/// The replica of the instance that cancels lags behind.
BOOST_AUTO_TEST_CASE(ASubmissionThatTheReplicaLacksIsCancelled) {
  Submit(elsewhere);
  AnswerAll();
  Cancel(here);
  AnswerAll();
  Pass(kLongerThanARetry);
  AnswerAll();
  BOOST_TEST(IsCancelled(cancel_outcome::kCancelled));
  Replicate(elsewhere);
  BOOST_TEST((StateAt(elsewhere) == submission_state::kCancelled));
}

BOOST_AUTO_TEST_CASE(ASecondCancellationIsAnsweredLikeTheFirst) {
  Cancel(here);
  AnswerAll();
  for (intake_instance* at : {&here, &elsewhere}) {
    Cancel(*at);
    Pass(kLongerThanARetry);
    AnswerAll();
    BOOST_TEST(IsCancelled(cancel_outcome::kUnknownSubmission));
  }
}

/// A POST that is sent again once its submission was cancelled changes nothing.
BOOST_AUTO_TEST_CASE(ASubmissionThatIsSentAgainStaysCancelled) {
  Submit(here);
  AnswerAll();
  Replicate(here);
  Cancel(here);
  AnswerAll();
  Submit(elsewhere);
  AnswerAll();
  BOOST_TEST(IsSubmitted(submit_outcome::kAccepted));
  Replicate(elsewhere);
  BOOST_TEST((StateAt(elsewhere) == submission_state::kCancelled));
}

/// A flood of cancellations of unknown submissions doesn't keep others waiting.
BOOST_AUTO_TEST_CASE(AFloodOfCancellationsDelaysNoSubmission) {
  for (int i = 0; i < kFlood; ++i)
    here.intake.Cancel(std::to_string(i), loop.Now() + kPatience,
                       [](cancel_outcome) {});
  Submit(here);
  BOOST_REQUIRE(store.HasSent());
  store.AnswerNext();
  BOOST_TEST(IsSubmitted(submit_outcome::kAccepted));
}

/// The DELETE's own write is in doubt: neither acknowledged nor rejected.
BOOST_AUTO_TEST_CASE(TheOutcomeOfACancellationInDoubtIsUnknown) {
  CancelInDoubt(here);
  BOOST_TEST(IsCancelled(cancel_outcome::kOutcomeUnknown));
}

/// The same for a submission that is stored. A caller that was told that
/// nothing was cancelled would not expect it to end.
BOOST_AUTO_TEST_CASE(ACancellationThatMayTakeEffectLaterIsNotRejected) {
  Submit(here);
  AnswerAll();
  Replicate(here);
  const metadata::transaction late = CancelInDoubt(here);
  BOOST_TEST(IsCancelled(cancel_outcome::kOutcomeUnknown));
  BOOST_TEST(store.Apply(late).applied);
  Replicate(here);
  BOOST_TEST((StateAt(here) == submission_state::kCancelled));
}

BOOST_AUTO_TEST_CASE(ACancellationThatTheStoreRejectsIsRejected) {
  Submit(here);
  AnswerAll();
  Replicate(here);
  Cancel(here);
  store.RejectNext();
  BOOST_TEST(IsCancelled(cancel_outcome::kUnavailable));
}

/// Its late write does nothing to a submission that was accepted meanwhile.
BOOST_AUTO_TEST_CASE(ACancellationThatIsWrittenLateCancelsNothing) {
  Cancel(here);
  store.AnswerCalls();
  BOOST_REQUIRE(store.HasSent());
  const metadata::transaction late = store.LoseNext();
  Submit(elsewhere);
  AnswerAll();
  BOOST_TEST(IsSubmitted(submit_outcome::kAccepted));
  BOOST_TEST(!store.Apply(late).applied);
  Replicate(elsewhere);
  BOOST_TEST((StateAt(elsewhere) == submission_state::kQueued));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
