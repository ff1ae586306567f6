#include "chivecrank/runtime/departure.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::runtime {
namespace {

using std::chrono::milliseconds;

constexpr base::time_point kSeen{std::chrono::hours(1)};

submissions::worker_description Draining(
    std::optional<milliseconds> stays_at_least) {
  submissions::worker_description worker;
  worker.draining = true;
  worker.stays_at_least = stays_at_least;
  worker.started_at_ms = 1;
  return worker;
}

/// What is known after the first entry was read at `kSeen`.
submissions::worker_description KnownToStay(milliseconds at_least) {
  submissions::worker_description known = Draining(at_least);
  UpdateDeparture(known, nullptr, kSeen);
  return known;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(departure)

BOOST_AUTO_TEST_CASE(AStayCountsFromWhenItsEntryWasSeen) {
  BOOST_TEST((KnownToStay(milliseconds(6000)).stays_until ==
              kSeen + milliseconds(6000)));
}

BOOST_AUTO_TEST_CASE(ReadingTheSameEntryAgainExtendsNoStay) {
  const auto known = KnownToStay(milliseconds(6000));
  auto again = Draining(milliseconds(6000));
  UpdateDeparture(again, &known, kSeen + milliseconds(700));
  BOOST_TEST((again.stays_until == kSeen + milliseconds(6000)));
}

BOOST_AUTO_TEST_CASE(ANewerEntryCorrectsAStayThatWasSeenLate) {
  const auto known = KnownToStay(milliseconds(6000));
  auto newer = Draining(milliseconds(4000));
  UpdateDeparture(newer, &known, kSeen + milliseconds(700));
  BOOST_TEST((newer.stays_until == kSeen + milliseconds(4700)));
}

BOOST_AUTO_TEST_CASE(AnEntryThatSaysNothingLeavesWhatIsKnown) {
  const auto known = KnownToStay(milliseconds(6000));
  auto silent = Draining(std::nullopt);
  UpdateDeparture(silent, &known, kSeen + milliseconds(700));
  BOOST_TEST((silent.stays_until == kSeen + milliseconds(6000)));
  auto unknown = Draining(std::nullopt);
  UpdateDeparture(unknown, nullptr, kSeen);
  BOOST_TEST(!unknown.stays_until.has_value());
}

BOOST_AUTO_TEST_CASE(TheNextIncarnationStartsAnew) {
  const auto known = KnownToStay(milliseconds(500));
  auto next = Draining(milliseconds(6000));
  next.started_at_ms = 2;
  UpdateDeparture(next, &known, kSeen + milliseconds(700));
  BOOST_TEST((next.stays_until == kSeen + milliseconds(6700)));
}

BOOST_AUTO_TEST_CASE(AWorkerThatIsReadyAgainStaysWithoutEnd) {
  const auto known = KnownToStay(milliseconds(500));
  auto ready = Draining(std::nullopt);
  ready.draining = false;
  UpdateDeparture(ready, &known, kSeen + milliseconds(700));
  BOOST_TEST(!ready.stays_until.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
