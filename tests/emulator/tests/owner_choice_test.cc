#include "day_fixture.h"

namespace chivecrank::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLargeInstances = 2;
constexpr std::size_t kInstances = 24;
constexpr std::uint64_t kSeeds = 10;
/// Time between two looks at who owns the shard.
constexpr milliseconds kStep{20};

/// Two large instances and many small ones, which fall behind with a shard.
struct mixed_fixture : day_fixture {
  mixed_fixture() {
    settings.instances = kInstances;
    settings.instance_processors_milli = {500, 500, 69};
    settings.costs = {.per_message = std::chrono::microseconds(100),
                      .per_item = std::chrono::microseconds(20)};
    settings.start_spread = milliseconds(300);
  }

  void Begin(std::uint64_t seed) {
    settings.seed = seed;
    day = std::make_unique<emulation>(settings);
    day->Run(seconds(8), true);
    BOOST_REQUIRE(IsLarge(day->OwnerOf(0)));
  }

  static bool IsLarge(std::size_t index) { return index < kLargeInstances; }

  /// Lets the time pass and returns how long a small instance owned the shard.
  milliseconds TimeOwnedBySmall(milliseconds time) const {
    milliseconds owned{0};
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      day->Run(kStep, true);
      const std::size_t owner = day->OwnerOf(0);
      if (owner < kInstances && !IsLarge(owner))
        owned += kStep;
    }
    return owned;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(owner_choice, mixed_fixture)

BOOST_AUTO_TEST_CASE(ALargeInstanceOwnsAfterAllLeasesEndedAtOnce) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_INFO_SCOPE("seed " << seed);
    Begin(seed);
    day->Store().Faults().silent = seed % 2 == 0;
    day->Store().Faults().rejecting = seed % 2 == 1;
    day->Store().Faults().leases_lapse = true;
    day->Run(milliseconds(4500), true);
    day->Store().Faults() = {};
    BOOST_TEST(TimeOwnedBySmall(seconds(6)).count() == 0);
    BOOST_TEST(IsLarge(day->OwnerOf(0)));
    CheckPromises();
  }
}

BOOST_AUTO_TEST_CASE(ALargeInstanceOwnsAfterAllRestarted) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_INFO_SCOPE("seed " << seed);
    Begin(seed);
    for (std::size_t i = 0; i < kInstances; ++i)
      day->KillInstance(i);
    // Longer than a lease: no instance is known any more.
    day->Run(seconds(4), true);
    for (std::size_t i = kLargeInstances; i < kInstances; ++i)
      day->StartInstance(i);
    day->Run(milliseconds(700), true);
    for (std::size_t i = 0; i < kLargeInstances; ++i)
      day->StartInstance(i);
    BOOST_TEST(TimeOwnedBySmall(seconds(6)).count() == 0);
    BOOST_TEST(IsLarge(day->OwnerOf(0)));
    CheckPromises();
  }
}

BOOST_AUTO_TEST_CASE(SmallInstancesOwnWhileNoLargeOneLives) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_INFO_SCOPE("seed " << seed);
    Begin(seed);
    for (std::size_t i = 0; i < kLargeInstances; ++i)
      day->KillInstance(i);
    day->Run(seconds(6), true);
    const std::size_t owner = day->OwnerOf(0);
    BOOST_TEST(owner < kInstances);
    BOOST_TEST(!IsLarge(owner));
    for (std::size_t i = 0; i < kLargeInstances; ++i)
      day->StartInstance(i);
    day->Run(seconds(6), true);
    BOOST_TEST(IsLarge(day->OwnerOf(0)));
    CheckPromises();
  }
}

BOOST_AUTO_TEST_CASE(AnOwnerIsNotReplacedByOneOfItsSize) {
  settings.instance_processors_milli = {100};
  day = std::make_unique<emulation>(settings);
  day->Run(seconds(8), true);
  const std::size_t owner = day->OwnerOf(0);
  BOOST_REQUIRE(owner < kInstances);
  for (int i = 0; i < 100; ++i) {
    day->Run(milliseconds(100), true);
    BOOST_REQUIRE(day->OwnerOf(0) == owner);
  }
  CheckPromises();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
