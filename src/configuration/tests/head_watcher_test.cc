#include "chivecrank/configuration/head_watcher.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/configuration/codec.h"
#include "chivecrank/configuration/repository.h"
#include "chivecrank/coordination/memory_store.h"

namespace chivecrank::configuration {
namespace {

struct fixture {
  base::manual_clock clock;
  coordination::memory_store store{clock};
  held_configuration held{clock};
  bool watches = true;
  int asked = 0;
  int newer = 0;
  revision peers_have = 0;
  head_watcher watcher{store,
                       clock,
                       held,
                       {},
                       {[this] { return watches; },
                        [this] {
                          ++asked;
                          Hear(peers_have);
                        },
                        [this] { ++newer; }}};

  void Hear(revision number) {
    snapshot told;
    told.revision = number;
    held.Offer(told);
  }

  coordination::version Write(revision number, coordination::version expected) {
    snapshot accepted;
    accepted.revision = number;
    return store
        .Put(coordination::call_class::kConfiguration,
             {kHeadKey, EncodeSnapshot(accepted), expected, 0})
        .value();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(head_watcher_suite, fixture)

BOOST_AUTO_TEST_CASE(WatcherPutsChangesInForceAndNeverGoesBack) {
  const coordination::version first = Write(2, 0);
  watcher.RunOnce();
  BOOST_TEST(held.Current()->revision == 2);
  const coordination::version second = Write(3, first);
  watcher.RunOnce();
  BOOST_TEST(held.Current()->revision == 3);
  Write(1, second);
  watcher.RunOnce();
  BOOST_TEST(held.Current()->revision == 3);
}

BOOST_AUTO_TEST_CASE(FreshProcessAsksPeersBecauseTheReadMayBeStale) {
  Write(2, 0);
  peers_have = 3;
  watcher.RunOnce();
  BOOST_TEST(asked == 1);
  BOOST_TEST(held.Current()->revision == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::configuration
