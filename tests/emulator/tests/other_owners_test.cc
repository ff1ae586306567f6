#include <string>
#include <string_view>

#include "day_fixture.h"

namespace chivecrank::emulator {
namespace {

using std::chrono::seconds;

/// Higher than any fence of a day.
constexpr std::int64_t kOtherFence = 1'000'000'000;

/// A day on which some workers follow an owner of something else.
struct other_owners_fixture : day_fixture {
  other_owners_fixture() {
    settings.on_log_line = [this](std::string_view lines) {
      constexpr std::string_view lost = "\"event\":\"shard_lost\"";
      for (auto at = lines.find(lost); at != std::string_view::npos;
           at = lines.find(lost, at + 1))
        ++times_lost;
    };
  }

  void FollowOther(const std::string& worker) {
    Day().Workers().Follow(worker, kOtherFence);
  }

  int times_lost = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(other_owners, other_owners_fixture)

/// Case 1 of the review: a worker of a service that the configuration doesn't
/// name cost the owner its shard, again and again.
BOOST_AUTO_TEST_CASE(WorkersOfAnotherServiceAreNotCalled) {
  Day();
  for (const std::string id : {"w-003", "w-007"}) {
    FollowOther(id);
    Day().Workers().SetService(id, "other");
    Day().List(id);
  }
  Day().Run(seconds(10), true);
  BOOST_TEST(times_lost == 0);
  CheckPromises();
  BOOST_TEST(Day().Total().accepted == Day().Total().completed);
}

/// The same for a worker of an own service.
BOOST_AUTO_TEST_CASE(AWorkerThatFollowsAnotherOwnerCostsNoShard) {
  Day().Run(seconds(4), true);
  FollowOther("w-003");
  Day().Run(seconds(10), true);
  BOOST_TEST(times_lost == 0);
  CheckPromises();
  BOOST_TEST(Day().Total().accepted == Day().Total().completed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::emulator
