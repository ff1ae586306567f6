#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>

#include "chivecrank/runtime/conditional_writer.h"
#include "tests/scripted_store_fixture.h"

namespace chivecrank::runtime {
namespace {

constexpr std::chrono::seconds kPatience{3};
constexpr std::chrono::milliseconds kInterval{100};

struct fixture : scripted_store_fixture {
  std::unique_ptr<conditional_writer> Writer(
      conditional_writer_settings settings = {},
      conditional_writer::hooks hooks = {}) {
    settings.name = "test";
    return std::make_unique<conditional_writer>(loop, store, log, settings,
                                                std::move(hooks));
  }

  void Write(conditional_writer& writer, const std::string& key) {
    writer.Write({.write = {key, "value"},
                  .absent_keys = {key, "blocks/" + key},
                  .give_up_at = clock.Now() + kPatience,
                  .done = [this, key](const write_result& result) {
                    BOOST_TEST(!results.contains(key));
                    results[key] = result;
                  }});
  }

  bool Ended(const std::string& key, write_outcome outcome) const {
    const auto found = results.find(key);
    return found != results.end() && found->second.outcome == outcome;
  }

  std::map<std::string, write_result> results;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(conditional_writer_suite, fixture)

BOOST_AUTO_TEST_CASE(ATransactionCarriesAsManyAsTheStoreTakes) {
  const auto writer = Writer({.max_in_flight = 1});
  for (int i = 0; i < 25; ++i)
    Write(*writer, "key-" + std::to_string(i));
  // The first one went alone. With two conditions, ten fit into a transaction.
  store.AnswerNext();
  BOOST_TEST(results.size() == 1U);
  store.AnswerNext();
  BOOST_TEST(results.size() == 11U);
  store.AnswerNext();
  store.AnswerNext();
  BOOST_TEST(results.size() == 25U);
  BOOST_TEST(store.items.size() == 25U);
}

BOOST_AUTO_TEST_CASE(AKeyThatExistsIsNamedAndTheOthersAreWritten) {
  store.items["blocks/a"] = {"blocks/a", "", 7};
  const auto writer = Writer({.max_in_flight = 1});
  Write(*writer, "first");
  Write(*writer, "a");
  Write(*writer, "b");
  while (store.HasSent())
    store.AnswerNext();
  BOOST_TEST(Ended("a", write_outcome::kKeyExists));
  BOOST_TEST(results["a"].existing_key == "blocks/a");
  BOOST_TEST(Ended("b", write_outcome::kWritten));
  BOOST_TEST(!store.items.contains("a"));
}

BOOST_AUTO_TEST_CASE(AWriteWithoutAnAnswerIsSentAgain) {
  const auto writer = Writer();
  Write(*writer, "a");
  store.Apply(store.LoseNext());
  Pass(std::chrono::milliseconds(200));
  store.AnswerNext();
  BOOST_TEST(Ended("a", write_outcome::kKeyExists));
  BOOST_TEST(results["a"].existing_key == "a");
}

BOOST_AUTO_TEST_CASE(TheOutcomeOfAWriteThatNobodyAnswersIsUnknown) {
  const auto writer = Writer();
  Write(*writer, "a");
  store.LoseNext();
  Pass(kPatience);
  BOOST_TEST(Ended("a", write_outcome::kUnknown));
  // Nobody waits for the second attempt, which isn't followed by a third one.
  store.LoseNext();
  Pass(kPatience);
  BOOST_TEST(!store.HasSent());
}

BOOST_AUTO_TEST_CASE(ARejectedWriteIsNotWritten) {
  const auto writer = Writer();
  Write(*writer, "a");
  store.RejectNext();
  BOOST_TEST(Ended("a", write_outcome::kNotWritten));
  BOOST_TEST(writer->FailedRecently());
}

BOOST_AUTO_TEST_CASE(ARejectionDoesNotTellOfAnEarlierAttempt) {
  const auto writer = Writer();
  Write(*writer, "a");
  store.LoseNext();
  Pass(std::chrono::milliseconds(200));
  store.RejectNext();
  BOOST_TEST(results.empty());
  Pass(kPatience);
  BOOST_TEST(Ended("a", write_outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(TransactionsKeepTheirDistance) {
  const auto writer = Writer({.min_interval = kInterval});
  Write(*writer, "a");
  store.AnswerNext();
  Write(*writer, "b");
  Write(*writer, "c");
  BOOST_TEST(!store.HasSent());
  Pass(kInterval);
  store.AnswerNext();
  BOOST_TEST(results.size() == 3U);
}

BOOST_AUTO_TEST_CASE(AWriteWhoseTurnComesTooLateIsRejectedAtOnce) {
  const auto writer = Writer({.min_interval = std::chrono::seconds(1)});
  for (int i = 0; i < 80; ++i)
    Write(*writer, std::to_string(i));
  // The first one goes at once and alone. Two more transactions can be sent
  // before the callers give up, with sixteen writes at most in each.
  BOOST_TEST(!results.contains("32"));
  BOOST_TEST(Ended("33", write_outcome::kNotWritten));
  BOOST_TEST(Ended("79", write_outcome::kNotWritten));
}

BOOST_AUTO_TEST_CASE(WritesWaitForALeaseAndForANewOneWhenItEnds) {
  std::optional<metadata::lease_id> lease;
  const auto writer =
      Writer({}, {.lease = [&] { return lease; },
                  .on_lease_ended = [&] { lease = std::nullopt; }});
  Write(*writer, "a");
  BOOST_TEST(!store.HasSent());
  lease = 1;
  writer->Resume();
  // The store doesn't know this lease.
  store.AnswerNext();
  Pass(std::chrono::milliseconds(200));
  BOOST_TEST(!store.HasSent());
  store.leases.insert(2);
  lease = 2;
  writer->Resume();
  store.AnswerNext();
  BOOST_TEST(Ended("a", write_outcome::kWritten));
  BOOST_TEST(store.items.at("a").lease == *lease);
}

BOOST_AUTO_TEST_CASE(WritesThatWereNeverSentCanBeRejected) {
  const auto writer =
      Writer({}, {.lease = [] { return std::optional<metadata::lease_id>(); }});
  Write(*writer, "a");
  writer->RejectUnsent();
  BOOST_TEST(Ended("a", write_outcome::kNotWritten));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
