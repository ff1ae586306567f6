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
  local_configuration local{clock};
  bool should_watch = true;
  int peer_queries = 0;
  int newer_notifications = 0;
  revision peer_revision = 0;
  head_watcher watcher{store,
                       clock,
                       local,
                       {},
                       {[this] { return should_watch; },
                        [this] {
                          ++peer_queries;
                          ApplyFromPeer(peer_revision);
                        },
                        [this] { ++newer_notifications; }}};

  void ApplyFromPeer(revision number) {
    snapshot received;
    received.revision = number;
    local.ApplyIfNewer(received);
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

BOOST_AUTO_TEST_CASE(WatcherActivatesHigherRevisionsAndIgnoresLowerOnes) {
  const coordination::version first = Write(2, 0);
  watcher.RunOnce();
  BOOST_TEST(local.Current()->revision == 2);
  const coordination::version second = Write(3, first);
  watcher.RunOnce();
  BOOST_TEST(local.Current()->revision == 3);
  Write(1, second);
  watcher.RunOnce();
  BOOST_TEST(local.Current()->revision == 3);
}

BOOST_AUTO_TEST_CASE(NewerRevisionOfPeersIsActiveWhenTheFirstReadIsStale) {
  Write(2, 0);
  peer_revision = 3;
  watcher.RunOnce();
  BOOST_TEST(peer_queries == 1);
  BOOST_TEST(local.Current()->revision == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::configuration
