#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/runtime/shard_tenure.h"

namespace chivecrank::runtime {
namespace {

constexpr metadata::revision kFence = 7;

/// A store that applies each transaction at once.
class committing_store final : public metadata::store {
 public:
  void Get(const std::string&,
           metadata::callback<std::optional<metadata::item>>) override {}
  void List(const std::string&,
            const std::string&,
            bool,
            metadata::callback<metadata::page>) override {}
  void Watch(const std::string&,
             metadata::revision,
             std::chrono::milliseconds,
             metadata::callback<metadata::change_list>) override {}
  void Commit(metadata::transaction,
              metadata::callback<metadata::commit_answer> done) override {
    ++commits;
    metadata::commit_answer answer;
    answer.applied = true;
    done(std::move(answer));
  }
  void Grant(std::chrono::milliseconds,
             metadata::callback<metadata::granted_lease>) override {}
  void Renew(metadata::lease_id,
             metadata::callback<metadata::granted_lease>) override {}
  void End(metadata::lease_id, metadata::callback<bool>) override {}

  int commits = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(shard_tenure_suite)

BOOST_AUTO_TEST_CASE(RecordsRoundTrip) {
  const tenure_record written{.fence = kFence, .settled = true};
  BOOST_TEST((DecodeTenure(EncodeTenure(written)) == written));
  BOOST_TEST(!DecodeTenure("settled").has_value());
}

BOOST_AUTO_TEST_CASE(AnOwnerThatReleasedTheShardHasEnded) {
  tenure_record last{.fence = kFence, .settled = true, .released = true};
  BOOST_TEST(AllEarlierOwnersEnded(last, 0));
  last.released = false;
  BOOST_TEST(!AllEarlierOwnersEnded(last, 0));
}

BOOST_AUTO_TEST_CASE(OnlyTheLastOwnerThatIsKnownToHaveEndedCounts) {
  const tenure_record last{.fence = kFence, .settled = true};
  BOOST_TEST(AllEarlierOwnersEnded(last, kFence));
  // Another owner recorded a tenure after that process.
  BOOST_TEST(!AllEarlierOwnersEnded(last, kFence - 1));
}

BOOST_AUTO_TEST_CASE(OwnersBeforeAnUnsettledOneMayStillAct) {
  const tenure_record last{.fence = kFence, .released = true};
  BOOST_TEST(!AllEarlierOwnersEnded(last, kFence));
  BOOST_TEST(!AllEarlierOwnersEnded(std::nullopt, kFence));
}

/// A hunted day on a grown site: a transaction of the journal got no answer in
/// time again and again, and all leases ended.
BOOST_AUTO_TEST_CASE(ATenureIsRenewedThoughTheJournalMakesNoProgress) {
  base::manual_clock clock;
  reactor::event_loop loop{clock};
  event_log::event_log log{
      clock, "node", {}, [](std::string_view bytes) { return bytes.size(); }};
  committing_store store;
  shard_tenure tenure{loop, store, log, 0, kFence, {}};
  tenure.Begin(true);
  const base::time_point begun_at = tenure.RecordedAt();
  BOOST_REQUIRE(tenure.HasBegun());
  for (int i = 0; i < 10; ++i) {
    clock.Advance(std::chrono::milliseconds(500));
    loop.RunOnce(base::milliseconds(0));
  }
  BOOST_TEST((tenure.RecordedAt() >= begun_at + std::chrono::seconds(3)));
  BOOST_TEST(store.commits < 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
