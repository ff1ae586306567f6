#include "internal/service_load.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <numbers>
#include <random>

namespace chivecrank::submissions::internal {
namespace {

using std::chrono::milliseconds;

constexpr double kNoise = 0.07;
constexpr double kPeriodSeconds = 14;
constexpr milliseconds kReadingInterval{60};
constexpr int kReadings = 1000;

double TrueLoad(base::time_point at) {
  const double seconds =
      std::chrono::duration<double>(at.time_since_epoch()).count();
  return 0.47 + 0.2 * std::sin(2 * std::numbers::pi * seconds / kPeriodSeconds);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(service_loads)

BOOST_AUTO_TEST_CASE(PeriodicLoadIsTrackedThroughNoisyMeasurements) {
  std::mt19937_64 random(1);
  std::normal_distribution<double> noise(0, kNoise);
  base::time_point now;
  service_load load(now);
  double squares = 0;
  double ahead_squares = 0;
  for (int i = 0; i < kReadings; ++i) {
    now += kReadingInterval;
    load.AdvanceTo(now);
    const double innovation = TrueLoad(now) + noise(random) - load.Level();
    load.Correct(innovation, load.Variance() + kNoise * kNoise);
    squares += std::pow(load.Level() - TrueLoad(now), 2);
    const milliseconds horizon{500};
    const double worst = std::max(TrueLoad(now), TrueLoad(now + horizon));
    ahead_squares += std::pow(load.MaxLoad(horizon) - worst, 2);
  }
  BOOST_TEST(std::sqrt(squares / kReadings) < kNoise / 2);
  BOOST_TEST(std::sqrt(ahead_squares / kReadings) < kNoise);
}

BOOST_AUTO_TEST_CASE(VarianceGrowsWithoutMeasurements) {
  base::time_point now;
  service_load load(now);
  for (int i = 0; i < kReadings; ++i) {
    now += kReadingInterval;
    load.AdvanceTo(now);
    load.Correct(0.3 - load.Level(), load.Variance() + kNoise * kNoise);
  }
  BOOST_TEST(load.Variance() < 0.002);
  load.AdvanceTo(now + std::chrono::seconds(30));
  BOOST_TEST(load.Variance() > 0.02);
  BOOST_TEST(std::abs(load.Level() - 0.3) < 0.1);
}

BOOST_AUTO_TEST_CASE(AdvancingToAnEarlierTimeIsIgnored) {
  const base::time_point now{std::chrono::seconds(5)};
  service_load load(now);
  const double before = load.Variance();
  load.AdvanceTo(now - std::chrono::seconds(1));
  BOOST_TEST(load.Variance() == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions::internal
