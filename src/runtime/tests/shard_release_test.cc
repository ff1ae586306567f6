#include <boost/test/unit_test.hpp>

#include <optional>

#include "chivecrank/runtime/keys.h"
#include "chivecrank/runtime/shard_release.h"
#include "tests/scripted_store.h"

namespace chivecrank::runtime {
namespace {

constexpr std::uint32_t kShard = 0;
constexpr metadata::revision kFence = 7;

/// A store that holds an owner key, and a release of that owner.
struct fixture {
  fixture() { store.items[OwnerKey(kShard)] = {OwnerKey(kShard), "", kFence}; }

  void Store(const tenure_record& record, metadata::revision at) {
    store.items[TenureKey(kShard)] = {TenureKey(kShard), EncodeTenure(record),
                                      at};
  }

  void Release(const tenure_record& seen, metadata::revision seen_revision) {
    ReleaseShard(store, {kShard, kFence, known_tenure{seen, seen_revision, {}}},
                 [this](bool done) { released = done; });
    while (store.HasSent())
      store.AnswerNext();
  }

  tenure_record Stored() {
    return *DecodeTenure(store.items.at(TenureKey(kShard)).value);
  }

  scripted_store store;
  std::optional<bool> released;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shard_release_suite, fixture)

BOOST_AUTO_TEST_CASE(TheOwnerKeyGoesAndTheTenureSaysSo) {
  const tenure_record tenure{.fence = kFence, .settled = true};
  Store(tenure, 20);
  Release(tenure, 20);
  BOOST_TEST(released.value());
  BOOST_TEST(!store.items.contains(OwnerKey(kShard)));
  BOOST_TEST(Stored().released);
}

/// An owner that stopped just after it had settled took that back, since its
/// copy of the record was older, and the next owner waited for all leases.
BOOST_AUTO_TEST_CASE(AReleaseKeepsThatTheTenureIsSettled) {
  Store({.fence = kFence, .settled = true}, 21);
  Release({.fence = kFence}, 20);
  BOOST_TEST(released.value());
  BOOST_TEST(AllEarlierOwnersEnded(Stored(), 0));
}

BOOST_AUTO_TEST_CASE(AReleaseMarksATenureThatWasNotSeenYet) {
  Store({.fence = kFence, .settled = true}, 21);
  Release({.fence = kFence - 2, .settled = true}, 10);
  BOOST_TEST(released.value());
  BOOST_TEST(AllEarlierOwnersEnded(Stored(), 0));
}

BOOST_AUTO_TEST_CASE(ARecordOfAnEarlierOwnerStaysAsItIs) {
  const tenure_record earlier{.fence = kFence - 2, .settled = true};
  Store(earlier, 10);
  Release(earlier, 10);
  BOOST_TEST(released.value());
  BOOST_TEST((Stored() == earlier));
}

BOOST_AUTO_TEST_CASE(AShardOfAnotherOwnerIsNotReleased) {
  store.items[OwnerKey(kShard)].changed_at = kFence + 1;
  const tenure_record other{.fence = kFence + 1};
  Store(other, 22);
  Release({.fence = kFence, .settled = true}, 20);
  BOOST_TEST(!released.value());
  BOOST_TEST(store.items.contains(OwnerKey(kShard)));
  BOOST_TEST((Stored() == other));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
