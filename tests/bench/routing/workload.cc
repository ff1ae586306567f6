#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace chivecrank::bench {
namespace {

constexpr double kMeanWorkSeconds = 0.020;
constexpr double kWorkSigma = 0.5;
constexpr double kWavePeriodSeconds = 1;
constexpr double kWaveSeconds = 0.25;
/// Load that a wave adds.
constexpr double kWaveLoad = 0.9;
constexpr std::uint64_t kWaveEntries = 2;

double RatePerSecond(double load) {
  return load * kWorkers * kSlots / kMeanWorkSeconds;
}

base::duration Seconds(double value) {
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(value));
}

class generator {
 public:
  explicit generator(std::uint64_t seed) : random_(seed) {}

  arrival Make(double at, int account, std::uint64_t choices) {
    arrival made;
    made.at = base::time_point(Seconds(at));
    made.account = account;
    made.choice = random_() % choices;
    made.work = Seconds(work_(random_));
    return made;
  }

  double Gap(double rate) {
    return std::exponential_distribution<double>(rate)(random_);
  }

  int Account() { return static_cast<int>(random_() % kAccounts); }

 private:
  std::mt19937_64 random_;
  std::lognormal_distribution<double> work_{
      std::log(kMeanWorkSeconds) - kWorkSigma * kWorkSigma / 2, kWorkSigma};
};

}  // namespace

std::vector<scenario> AllScenarios() {
  return {
      {"steady_60", 0.60, 0.60},
      {"steady_85", 0.85, 0.85},
      {"shift_120", 0.60, 1.20},
      {"slow_workers", 0.60, 0.60, 0.10},
      {"domain_lost", 0.60, 0.60, 0, true},
      {"noisy_waves", 0.60, 0.60, 0, false, true},
  };
}

std::vector<arrival> MakeArrivals(const scenario& from, std::uint64_t seed) {
  generator make(seed);
  const double end = std::chrono::duration<double>(kRunTime).count();
  std::vector<arrival> all;
  double at = 0;
  while (at < end) {
    const double load = at < end / 2 ? from.load : from.later_load;
    at += make.Gap(RatePerSecond(load));
    all.push_back(make.Make(at, make.Account(), 7 * 6 * 5 * 4));
  }
  for (double wave = kWavePeriodSeconds; from.waves && wave < end;
       wave += kWavePeriodSeconds) {
    at = wave;
    while (at < wave + kWaveSeconds) {
      at += make.Gap(RatePerSecond(kWaveLoad));
      all.push_back(make.Make(at, kNoisyAccount, kWaveEntries));
    }
  }
  std::stable_sort(
      all.begin(), all.end(),
      [](const arrival& a, const arrival& b) { return a.at < b.at; });
  return all;
}

}  // namespace chivecrank::bench
