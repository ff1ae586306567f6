#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

#include "chivecrank/runtime/status_publisher.h"
#include "tests/scripted_store_fixture.h"

namespace chivecrank::runtime {
namespace {

constexpr metadata::revision kEarlierFence = 5;
constexpr metadata::revision kFence = 7;
constexpr std::chrono::seconds kLongerThanAnyPause{2};

shard_status StatusWith(std::int64_t reserved_milli) {
  shard_status status;
  status.reserved_milli = reserved_milli;
  return status;
}

/// Publishers of one shard, and the store that they share.
struct fixture : scripted_store_fixture {
  std::unique_ptr<status_publisher> Publisher(metadata::revision fence) {
    return std::make_unique<status_publisher>(
        loop, store, shared, log, 0, fence, status_publisher_settings{},
        status_publisher::hooks{[this] { return current; },
                                [this] { return is_valid; },
                                [this](std::string_view) { ++times_fenced; }});
  }

  /// Lets the shard reserve so much and so many pauses between writes pass.
  void Publish(status_publisher& publisher, std::int64_t reserved_milli) {
    current = StatusWith(reserved_milli);
    clock.Advance(kLongerThanAnyPause);
    publisher.PublishIfDue();
  }

  /// The replica learns what the store holds.
  void Replicate() { shared.Apply({store.items.at(key), false}); }

  shard_status Stored() { return *DecodeShardStatus(store.items.at(key)); }

  const std::string key = StatusKey(0);
  replica shared{[this] { return loop.Now(); }};
  shard_status current;
  bool is_valid = true;
  int times_fenced = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(status_publisher_suite, fixture)

BOOST_AUTO_TEST_CASE(WritesOnlyWhatTheStoreDoesNotHold) {
  const auto publisher = Publisher(kFence);
  Publish(*publisher, 1);
  store.AnswerNext();
  Publish(*publisher, 1);
  BOOST_TEST(!store.HasSent());
  Publish(*publisher, 2);
  store.AnswerNext();
  BOOST_TEST(Stored().reserved_milli == 2);
  BOOST_TEST(Stored().fence == kFence);
}

BOOST_AUTO_TEST_CASE(OneWriteIsInFlightAtATime) {
  const auto publisher = Publisher(kFence);
  Publish(*publisher, 1);
  Publish(*publisher, 2);
  BOOST_TEST(store.commits == 1);
}

BOOST_AUTO_TEST_CASE(NothingIsWrittenWithoutAValidOwnership) {
  const auto publisher = Publisher(kFence);
  is_valid = false;
  Publish(*publisher, 1);
  BOOST_TEST(!store.HasSent());
}

BOOST_AUTO_TEST_CASE(TellsThatItKnowsOfSubmissionsAcceptedSince) {
  const auto publisher = Publisher(kFence);
  shared.SetRevision(20);
  Publish(*publisher, 1);
  store.AnswerNext();
  shared.SetRevision(30);
  Publish(*publisher, 1);
  BOOST_TEST(!store.HasSent());
  publisher->OnAccepted(25);
  Publish(*publisher, 1);
  store.AnswerNext();
  BOOST_TEST(Stored().as_of == 30);
}

/// Case 9 of the review: a status that was written late replaced a newer one.
BOOST_AUTO_TEST_CASE(AWriteThatIsCarriedOutLateFails) {
  const auto publisher = Publisher(kFence);
  Publish(*publisher, 1);
  const metadata::transaction late = store.LoseNext();
  Publish(*publisher, 2);
  store.AnswerNext();
  BOOST_TEST(!store.Apply(late).applied);
  BOOST_TEST(Stored().reserved_milli == 2);
}

BOOST_AUTO_TEST_CASE(AWriteThatIsCarriedOutBeforeTheNextOneIsReplaced) {
  const auto publisher = Publisher(kFence);
  Publish(*publisher, 1);
  const metadata::transaction late = store.LoseNext();
  Publish(*publisher, 2);
  BOOST_REQUIRE(store.Apply(late).applied);
  store.AnswerNext();
  Publish(*publisher, 2);
  store.AnswerNext();
  BOOST_TEST(Stored().reserved_milli == 2);
}

/// The owner compared with what it had sent, and left such a status in place.
BOOST_AUTO_TEST_CASE(AForeignStatusIsReplacedThoughTheShardHasNotChanged) {
  const auto publisher = Publisher(kFence);
  Publish(*publisher, 1);
  store.AnswerNext();
  metadata::transaction foreign;
  foreign.writes.push_back({key, EncodeShardStatus(StatusWith(9))});
  store.Apply(foreign);
  Replicate();
  publisher->OnStored();
  Publish(*publisher, 1);
  BOOST_REQUIRE(store.HasSent());
  store.AnswerNext();
  BOOST_TEST(Stored().reserved_milli == 1);
}

BOOST_AUTO_TEST_CASE(AnUnreadableStatusIsReplaced) {
  store.items[key] = {key, "unreadable", 50, 0};
  const auto publisher = Publisher(kFence);
  Publish(*publisher, 1);
  store.AnswerNext();
  Publish(*publisher, 1);
  store.AnswerNext();
  BOOST_TEST(Stored().reserved_milli == 1);
}

BOOST_AUTO_TEST_CASE(AnEarlierOwnerReplacesNoStatusOfALaterOne) {
  const auto earlier = Publisher(kEarlierFence);
  Publish(*earlier, 1);
  const metadata::transaction late = store.LoseNext();
  const auto later = Publisher(kFence);
  Publish(*later, 2);
  store.AnswerNext();
  BOOST_TEST(!store.Apply(late).applied);
  Publish(*earlier, 3);
  store.AnswerNext();
  Publish(*earlier, 3);
  BOOST_TEST(times_fenced == 1);
  BOOST_TEST(!store.HasSent());
  BOOST_TEST(Stored().reserved_milli == 2);
}

BOOST_AUTO_TEST_CASE(ALaterOwnerReplacesALateStatusOfAnEarlierOne) {
  const auto earlier = Publisher(kEarlierFence);
  Publish(*earlier, 1);
  const metadata::transaction late = store.LoseNext();
  const auto later = Publisher(kFence);
  Publish(*later, 1);
  BOOST_REQUIRE(store.Apply(late).applied);
  store.AnswerNext();
  BOOST_TEST(Stored().fence == kEarlierFence);
  Publish(*later, 1);
  store.AnswerNext();
  BOOST_TEST(Stored().fence == kFence);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
