#include "chivecrank/base/holdover_clock.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"

namespace chivecrank::base {
namespace {

/// A clock whose time of day can be set.
class jumping_clock final : public clock {
 public:
  time_point Now() const override { return steady_.Now(); }
  wall_time WallNow() const override { return steady_.WallNow() + jump; }
  void SleepUntil(time_point wake) override { steady_.SleepUntil(wake); }
  void Advance(duration step) { steady_.Advance(step); }

  milliseconds jump{0};

 private:
  manual_clock steady_;
};

struct fixture {
  /// Milliseconds by which the time of day is off.
  std::int64_t Error() {
    const auto truth = source.WallNow() - source.jump;
    return std::chrono::duration_cast<milliseconds>(clock.WallNow() - truth)
        .count();
  }

  jumping_clock source;
  holdover_clock clock{source, {}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(holdover_clock_suite, fixture)

BOOST_AUTO_TEST_CASE(JumpsForwardAndBackAreNotFollowed) {
  for (const milliseconds jump : {milliseconds(2000), milliseconds(-2000),
                                  milliseconds(5000), milliseconds(0)}) {
    source.jump = jump;
    for (int i = 0; i < 50; ++i) {
      source.Advance(milliseconds(100));
      BOOST_REQUIRE(Error() == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(AJumpThatLastsIsFollowed) {
  source.jump = milliseconds(3000);
  BOOST_TEST(Error() == 0);
  source.Advance(holdover_settings().adopt_after);
  BOOST_TEST(Error() == 3000);
}

BOOST_AUTO_TEST_CASE(SmallCorrectionsAreFollowedAtOnce) {
  source.jump = milliseconds(-150);
  BOOST_TEST(Error() == -150);
  source.jump = milliseconds(100);
  BOOST_TEST(Error() == 100);
}

BOOST_AUTO_TEST_CASE(TheTimeOfDayNeverStandsStill) {
  wall_time before = clock.WallNow();
  for (int i = 0; i < 300; ++i) {
    source.jump = milliseconds(i % 7 * 1000);
    source.Advance(milliseconds(100));
    const wall_time now = clock.WallNow();
    BOOST_REQUIRE(now - before == milliseconds(100));
    before = now;
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::base
