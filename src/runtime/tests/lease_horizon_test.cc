#include "chivecrank/runtime/lease_horizon.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "chivecrank/runtime/worker_witnesses.h"

namespace chivecrank::runtime {
namespace {

using std::chrono::milliseconds;

constexpr lease_horizon_settings kSettings{.worker_lease = milliseconds(7800)};
const base::time_point kStart{std::chrono::hours(1)};

base::time_point At(int time_ms) {
  return kStart + milliseconds(time_ms);
}

/// An owner that the store stops answering, and a successor that takes over
/// meanwhile and reaches all workers but one.
struct takeover {
  static constexpr int kWorkers = 8;
  static constexpr int kStepMs = 50;

  /// When the owner sent its newest write, and when the successor saw that.
  int recorded_ms = 0;
  int seen_ms = 0;
  /// When the successor asks the first worker, and how many it asks each step.
  int asks_from_ms = 0;
  int asks_per_step = 1;

  /// Plays both. Returns by how much the longest lease of the worker that the
  /// successor doesn't reach outlasts what the successor assumes.
  milliseconds Play() const {
    worker_witnesses of_owner;
    worker_witnesses of_successor;
    of_owner.SetWorkers(Names());
    of_successor.SetWorkers(Names());
    const lease_horizon horizon(kSettings);
    base::time_point longest = kStart;
    base::time_point assumed = horizon.LatestEnd(At(seen_ms));
    int follow_successor = 0;
    bool is_witnessed = false;
    for (int time = recorded_ms; time < 20'000; time += kStepMs) {
      const base::time_point now = At(time);
      if (time >= asks_from_ms)
        for (int i = 0; i < asks_per_step && follow_successor < kWorkers - 1;
             ++i)
          of_successor.OnAnswer(Name(++follow_successor), now);
      if (!is_witnessed && of_successor.AreMostSince(At(seen_ms))) {
        is_witnessed = true;
        assumed = horizon.LatestEndOfReplaced(At(seen_ms), now);
      }
      for (int i = 0; i < kWorkers; ++i)
        if (i == 0 || i > follow_successor)
          of_owner.OnAnswer(Name(i), now);
      const bool owner_has_witnesses =
          of_owner.AreMostSince(now - kSettings.witness_age);
      const milliseconds lease =
          horizon.Grantable(At(recorded_ms), owner_has_witnesses, now);
      if (lease.count() > 0)
        longest = std::max(longest, now + lease);
    }
    return std::chrono::duration_cast<milliseconds>(longest - assumed);
  }

  static std::string Name(int number) { return "w-" + std::to_string(number); }
  static std::set<std::string> Names() {
    std::set<std::string> names;
    for (int i = 0; i < kWorkers; ++i)
      names.insert(Name(i));
    return names;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(lease_horizon_suite)

BOOST_AUTO_TEST_CASE(LeasesAreCountedFromTheNewestRecord) {
  const lease_horizon horizon(kSettings);
  BOOST_TEST(
      (horizon.Grantable(At(0), false, At(0)) == kSettings.worker_lease));
  BOOST_TEST((horizon.Grantable(At(0), false, At(1000)) == milliseconds(6800)));
  BOOST_TEST((horizon.Grantable(At(0), false, At(9000)) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(WitnessesAllowShortLeasesInAnOutage) {
  const lease_horizon horizon(kSettings);
  BOOST_TEST(!horizon.NeedsWitnesses(At(0), At(1000)));
  BOOST_TEST(horizon.NeedsWitnesses(At(0), At(7000)));
  BOOST_TEST(
      (horizon.Grantable(At(0), true, At(7000)) == kSettings.witnessed_lease));
  BOOST_TEST((horizon.Grantable(At(0), true, At(11'000)) == milliseconds(800)));
  BOOST_TEST((horizon.Grantable(At(0), true, At(12'000)) == milliseconds(0)));
}

/// No run may be taken for over while a lease of an earlier owner lasts.
BOOST_AUTO_TEST_CASE(NoLeaseOutlastsWhatASuccessorAssumes) {
  for (int seen_ms = 0; seen_ms <= 400; seen_ms += 100)
    for (int asks_from_ms = 500; asks_from_ms <= 12'000; asks_from_ms += 250)
      for (const int asks_per_step : {1, 3, 8}) {
        const takeover played{.seen_ms = seen_ms,
                              .asks_from_ms = asks_from_ms,
                              .asks_per_step = asks_per_step};
        BOOST_TEST(played.Play().count() <= 0);
      }
}

/// review/5: the owner and workers are lost at the same moment, and another
/// instance takes over after two seconds and a half.
BOOST_AUTO_TEST_CASE(ASuccessorWaitsForNoMoreThanALeaseFromTheLastRecord) {
  const lease_horizon horizon(kSettings);
  BOOST_TEST((horizon.LatestEndOfReplaced(At(0), At(3000)) ==
              At(0) + kSettings.worker_lease));
  // One that reaches most workers late, or never, assumes an outage.
  BOOST_TEST((horizon.LatestEndOfReplaced(At(0), At(6000)) == At(10'300)));
  BOOST_TEST((horizon.LatestEndOfReplaced(At(0), At(60'000)) == At(11'800)));
  BOOST_TEST((horizon.LatestEnd(At(0)) == At(11'800)));
}

BOOST_AUTO_TEST_CASE(AnOwnerThatHasEndedGrantsNothingMore) {
  const lease_horizon horizon(kSettings);
  BOOST_TEST((horizon.LatestEndOfEnded(At(0), At(500)) ==
              At(0) + kSettings.worker_lease));
  // Its last leases may be from an outage.
  BOOST_TEST((horizon.LatestEndOfEnded(At(0), At(9000)) == At(11'300)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
