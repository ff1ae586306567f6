#include "chivecrank/membership/member_table.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"

namespace chivecrank::membership {
namespace {

peer Scheduler(const std::string& instance) {
  return MakePeer(instance, "viti-suva", daemon::kScheduler,
                  {"127.0.0.1", 9190});
}

struct fixture {
  base::manual_clock clock;
  member_table table{Scheduler("i-1"), 10, {}};

  fixture() {
    table.UpdatePeers({Scheduler("i-0"), Scheduler("i-1"), Scheduler("i-2")},
                      clock.Now());
  }

  member_status StatusOf(const std::string& id) const {
    for (const member& known : table.Members()) {
      if (known.identity.id == id)
        return known.status;
    }
    return member_status::kDead;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(member_table_suite, fixture)

BOOST_AUTO_TEST_CASE(SuspectIsDeclaredDeadOnlyAfterTheSuspicionTimeout) {
  table.RecordProbeFailure("i-0/scheduler", clock.Now());
  BOOST_TEST((StatusOf("i-0/scheduler") == member_status::kSuspect));
  table.ExpireSuspicions(clock.Now());
  BOOST_TEST((StatusOf("i-0/scheduler") == member_status::kSuspect));
  clock.Advance(std::chrono::seconds(3));
  table.ExpireSuspicions(clock.Now());
  BOOST_TEST((StatusOf("i-0/scheduler") == member_status::kDead));
}

BOOST_AUTO_TEST_CASE(OnlyAHigherIncarnationRefutesASuspicion) {
  table.RecordProbeFailure("i-0/scheduler", clock.Now());
  table.ApplyRumor({"i-0/scheduler", member_status::kLive, 0}, clock.Now());
  BOOST_TEST((StatusOf("i-0/scheduler") == member_status::kSuspect));
  table.ApplyRumor({"i-0/scheduler", member_status::kLive, 1}, clock.Now());
  BOOST_TEST((StatusOf("i-0/scheduler") == member_status::kLive));
}

BOOST_AUTO_TEST_CASE(RumorAboutThisProcessIsRefutedWithAHigherIncarnation) {
  table.ApplyRumor({"i-1/scheduler", member_status::kDead, 10}, clock.Now());
  BOOST_TEST(table.TakeRumors("")[0].incarnation == 11);
}

BOOST_AUTO_TEST_CASE(ProcessHasTheLowestIdOnceTheLowerMemberIsSuspect) {
  BOOST_TEST(!table.HasLowestIdInDomain());
  table.RecordProbeFailure("i-0/scheduler", clock.Now());
  BOOST_TEST(table.HasLowestIdInDomain());
}

BOOST_AUTO_TEST_CASE(DigestHasAtMostMaxRumorsWithManyMembers) {
  std::vector<peer> many;
  many.reserve(600);
  for (int i = 0; i < 600; ++i)
    many.push_back(Scheduler("n-" + std::to_string(i)));
  table.UpdatePeers(many, clock.Now());
  for (const peer& other : many)
    table.RecordProbeFailure(other.id, clock.Now());
  BOOST_TEST(table.TakeRumors("").size() == member_settings{}.max_rumors);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::membership
