#include "day_fixture.h"

namespace chivecrank::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kServices = 10;

/// Two shards, services that reserve more than half of the processors as soon
/// as the shards have owners, and urgent steps of large tasks.
struct two_shards : day_fixture {
  two_shards() {
    settings.workers = 24;
    settings.workers_per_shard = 12;
    queue_load services = LastingLoad();
    services.per_second = 0.001;
    services.step.task_count = 8;
    services.step.demand.processors_milli = 2670;
    queue_load urgent = UrgentLoad();
    urgent.per_second = 1.2;
    urgent.step.task_count = 6;
    urgent.step.demand.processors_milli = 3200;
    settings.queues = {urgent, services};
  }

  void BeginWithServices() {
    day = std::make_unique<emulation>(settings);
    while (day->OwnerOf(0) == settings.instances ||
           day->OwnerOf(1) == settings.instances)
      day->Run(milliseconds(20), false);
    for (std::size_t i = 0; i < kServices; ++i)
      day->Submit(settings.queues[1]);
    day->Run(seconds(5), false);
  }
};

/// The calls to the store time out within it, when the owner may only renew
/// leases; the store is back before the owner loses the shard.
constexpr milliseconds kOutage{1800};
/// Time between two looks at whether a submission was moved.
constexpr milliseconds kMoveCheckInterval{5};

/// The submission that a line of the log names.
std::string SubmissionIn(std::string_view line) {
  constexpr std::string_view field = "\"submission\":\"";
  const std::size_t begin = line.find(field) + field.size();
  return std::string(line.substr(begin, line.find('"', begin) - begin));
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shard_balance, two_shards)

BOOST_AUTO_TEST_CASE(UrgentStepsGoWhereTheirTasksFit) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_INFO_SCOPE("seed " << seed);
    settings.seed = seed;
    BeginWithServices();
    day->Run(seconds(20), true);
    CheckPromises();
    const caller_counts& urgent = day->Callers().at("urgent");
    BOOST_TEST(urgent.offered > 10u);
    BOOST_TEST(urgent.in_objective * 10 >= urgent.offered * 9);
  }
}

BOOST_AUTO_TEST_CASE(SubmissionsWhoseMoveMetAnOutageAreStillDone) {
  std::size_t moved = 0;
  settings.seed = 2;
  settings.instances = 4;
  settings.queues[0].per_second = 4;
  settings.on_log_line = [&](std::string_view line) {
    if (line.find("submission_moved") != std::string_view::npos)
      ++moved;
  };
  BeginWithServices();
  for (int outage = 0; outage < 8; ++outage) {
    const std::size_t moved_before = moved;
    const base::time_point latest = day->Now() + seconds(3);
    while (moved == moved_before && day->Now() < latest)
      day->Run(kMoveCheckInterval, true);
    day->Store().Faults().silent = true;
    day->Run(kOutage, false);
    day->Store().Faults().silent = false;
    day->Run(seconds(4), true);
  }
  BOOST_REQUIRE(moved > 0u);
  day->Run(seconds(60), false);
  CheckPromises();
}

/// The cancellation meets the move in flight, before or after it is stored.
BOOST_AUTO_TEST_CASE(ASubmissionCancelledWhileItMovesNeverRuns) {
  std::vector<std::string> moving;
  settings.seed = 2;
  settings.instances = 4;
  settings.queues[0].per_second = 4;
  settings.on_log_line = [&](std::string_view line) {
    if (line.find("submission_moved") != std::string_view::npos)
      moving.push_back(SubmissionIn(line));
  };
  BeginWithServices();
  std::size_t cancelled = 0;
  const base::time_point end = day->Now() + seconds(30);
  while (day->Now() < end) {
    day->Run(kMoveCheckInterval, true);
    for (; cancelled < moving.size(); ++cancelled)
      day->Cancel(moving[cancelled]);
  }
  BOOST_REQUIRE(cancelled > 0u);
  CheckPromises();
  BOOST_TEST(day->Callers().at("urgent").cancelled > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
