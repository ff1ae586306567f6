#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "chivecrank/runtime/replica.h"

namespace chivecrank::runtime {
namespace {

submissions::submission Accepted(const std::string& id, std::uint32_t shard) {
  submissions::submission made;
  made.id = id;
  made.queue = "queue";
  made.shard = shard;
  made.steps.resize(1);
  return made;
}

metadata::item SubmissionItem(const std::string& id,
                              std::uint32_t shard,
                              metadata::revision at) {
  return {ToString({key_kind::kSubmission, id}),
          EncodeAccepted(Accepted(id, shard)), at, 0};
}

/// A replica that records the calls of its hooks.
struct fixture {
  fixture() {
    shared.SetHooks(
        {.on_accepted =
             [this](const std::string& id) { accepted.push_back(id); },
         .on_ended = [this](const std::string& id) { ended.push_back(id); },
         .on_moved = [this](const std::string& id,
                            std::uint32_t) { moved.push_back(id); },
         .on_owner = [this](std::uint32_t shard) { owners.push_back(shard); }});
  }

  void Put(const shared_key& key, std::string value, metadata::revision at) {
    shared.Apply({{ToString(key), std::move(value), at, 0}, false});
  }

  base::time_point now;
  replica shared{[this] { return now; }};
  std::vector<std::string> accepted;
  std::vector<std::string> ended;
  std::vector<std::string> moved;
  std::vector<std::uint32_t> owners;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(replica_suite, fixture)

BOOST_AUTO_TEST_CASE(SharedAndJournalKeysRoundTrip) {
  for (const key_kind kind :
       {key_kind::kShardCount, key_kind::kMember, key_kind::kOwner,
        key_kind::kShardStatus, key_kind::kSubmission, key_kind::kCancellation,
        key_kind::kOutcome, key_kind::kTenure}) {
    const auto read = ParseSharedKey(ToString({kind, "name"}));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->kind == kind));
    BOOST_TEST(read->name == "name");
  }
  BOOST_TEST(!ParseSharedKey("other/submissions/a").has_value());
  BOOST_TEST(!ParseSharedKey("chivecrank/strange/a").has_value());
  BOOST_TEST(*ParseJournalKey(7, JournalKey(7, 123)) == 123u);
  BOOST_TEST(!ParseJournalKey(8, JournalKey(7, 123)).has_value());
  BOOST_TEST(JournalKey(7, 9) < JournalKey(7, 10));
}

BOOST_AUTO_TEST_CASE(IgnoresChangeOlderThanKnownState) {
  Put({key_kind::kOwner, ShardName(2)}, "new", 20);
  Put({key_kind::kOwner, ShardName(2)}, "old", 10);
  BOOST_TEST(shared.Owners().at(2).node == "new");
  BOOST_TEST(owners.size() == 1u);
}

BOOST_AUTO_TEST_CASE(KeepsOutcomeThatArrivesBeforeItsSubmission) {
  Put({key_kind::kOutcome, "a"}, "completed", 5);
  BOOST_TEST((shared.Find("a") == nullptr));
  shared.Apply({SubmissionItem("a", 1, 6), false});
  BOOST_REQUIRE((shared.Find("a") != nullptr));
  BOOST_TEST(shared.Find("a")->Ended());
  BOOST_TEST(accepted.empty());
}

BOOST_AUTO_TEST_CASE(ReportsMoveWithNewShard) {
  shared.Apply({SubmissionItem("a", 1, 5), false});
  shared.Apply({SubmissionItem("a", 3, 8), false});
  BOOST_TEST(shared.Find("a")->shard == 3u);
  BOOST_TEST(shared.Find("a")->accepted_revision == 8);
  BOOST_TEST(accepted.size() == 1u);
  BOOST_TEST(moved.size() == 1u);
}

/// A listing has the cancellations before the submissions, whose shard tells
/// the owner which keys it has to delete later.
BOOST_AUTO_TEST_CASE(AnEndIsReportedOnceTheSubmissionIsKnown) {
  Put({key_kind::kCancellation, "a"}, "1", 8);
  BOOST_TEST(ended.empty());
  shared.Apply({SubmissionItem("a", 1, 6), false});
  BOOST_TEST(ended == std::vector<std::string>{"a"});
  BOOST_TEST(accepted.empty());
}

/// The same for a submission that was moved and cancelled between two listings.
BOOST_AUTO_TEST_CASE(AnEndIsReportedToTheShardThatTheSubmissionWasMovedTo) {
  shared.Apply({SubmissionItem("a", 1, 5), false});
  Put({key_kind::kCancellation, "a"}, "1", 8);
  BOOST_TEST(ended.size() == 1u);
  shared.Apply({SubmissionItem("a", 3, 7), false});
  BOOST_TEST(ended.size() == 2u);
  BOOST_TEST(shared.Find("a")->shard == 3u);
  BOOST_TEST(moved.empty());
}

BOOST_AUTO_TEST_CASE(ResetRemovesKeysMissingFromListing) {
  Put({key_kind::kOwner, ShardName(0)}, "node", 5);
  shared.Apply({SubmissionItem("a", 0, 6), false});
  shared.Reset({SubmissionItem("a", 0, 6)});
  BOOST_TEST(shared.Owners().empty());
  BOOST_TEST((shared.Find("a") != nullptr));
}

BOOST_AUTO_TEST_CASE(CountQueuedIncludesSubmissionsNotReportedStarted) {
  shared.Apply({SubmissionItem("a", 0, 5), false});
  shared.Apply({SubmissionItem("b", 0, 6), false});
  BOOST_TEST(shared.CountQueued("queue") == 2);
  shard_status status;
  status.not_started = {"b"};
  Put({key_kind::kShardStatus, ShardName(0)}, EncodeShardStatus(status), 9);
  BOOST_TEST(shared.CountQueued("queue") == 1);
  shared.Apply({SubmissionItem("c", 0, 10), false});
  BOOST_TEST(shared.CountQueued("queue") == 2);
  Put({key_kind::kCancellation, "b"}, "1", 11);
  BOOST_TEST(shared.CountQueued("queue") == 1);
  BOOST_TEST(ended.size() == 1u);
}

/// A status that took long to be stored had a newer revision than submissions
/// that it didn't know of, which were taken for started.
BOOST_AUTO_TEST_CASE(ASubmissionThatAStatusDoesNotKnowOfHasNotStarted) {
  shard_status status;
  status.as_of = 7;
  shared.Apply({SubmissionItem("known", 0, 7), false});
  shared.Apply({SubmissionItem("unknown", 0, 8), false});
  Put({key_kind::kShardStatus, ShardName(0)}, EncodeShardStatus(status), 9);
  BOOST_TEST(shared.HasStarted("known", *shared.Find("known")));
  BOOST_TEST(!shared.HasStarted("unknown", *shared.Find("unknown")));
}

/// Owners of older programs don't tell what their statuses know of.
BOOST_AUTO_TEST_CASE(AStatusOfAnOlderProgramKnowsOfAllBeforeIt) {
  shared.Apply({SubmissionItem("before", 0, 8), false});
  shared.Apply({SubmissionItem("after", 0, 10), false});
  Put({key_kind::kShardStatus, ShardName(0)}, R"({"capacity":1})", 9);
  BOOST_TEST(shared.HasStarted("before", *shared.Find("before")));
  BOOST_TEST(!shared.HasStarted("after", *shared.Find("after")));
}

BOOST_AUTO_TEST_CASE(SizesOfWorkersAreKnownOnceEveryShardToldThem) {
  Put({key_kind::kShardCount, "count"}, "2", 1);
  shard_status first;
  first.sizes.Add("service", {16'000, 64'000, 1});
  Put({key_kind::kShardStatus, ShardName(0)}, EncodeShardStatus(first), 2);
  BOOST_TEST(!shared.SizesFor("service").has_value());
  // An owner of an older version tells none.
  Put({key_kind::kShardStatus, ShardName(1)}, R"({"capacity":1})", 3);
  BOOST_TEST(!shared.SizesFor("service").has_value());
  shard_status second;
  second.sizes.Add("service", {8000, 128'000, 0});
  Put({key_kind::kShardStatus, ShardName(1)}, EncodeShardStatus(second), 4);
  submissions::worker_sizes both = first.sizes;
  both.Add(second.sizes);
  BOOST_REQUIRE(shared.SizesFor("service").has_value());
  BOOST_TEST((*shared.SizesFor("service") == both));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
