#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/runtime/prefix_watcher.h"
#include "tests/scripted_store.h"

namespace chivecrank::runtime {
namespace {

metadata::item ItemAt(const std::string& key, metadata::revision at) {
  return {key, "", at};
}

metadata::change_list HistoryGone() {
  metadata::change_list list;
  list.history_gone = true;
  return list;
}

/// A watcher that keeps the keys of the newest listing and of changes since.
struct fixture {
  fixture() {
    watcher.Start();
    store.lists.at(0)({metadata::page{{ItemAt("a", 5)}, false, 10}});
  }

  base::manual_clock clock;
  reactor::event_loop loop{clock};
  scripted_store store;
  std::set<std::string> keys;
  prefix_watcher watcher{loop,
                         store,
                         {.prefix = "keys/"},
                         {.on_listed =
                              [this](const std::vector<metadata::item>& items) {
                                keys.clear();
                                for (const metadata::item& item : items)
                                  keys.insert(item.key);
                              },
                          .on_change =
                              [this](const metadata::change& change) {
                                keys.insert(change.now.key);
                              },
                          .on_revision = [](metadata::revision) {}}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(prefix_watcher_suite, fixture)

BOOST_AUTO_TEST_CASE(ListsAnewWhenTheHistoryIsGone) {
  store.watches.at(0)(HistoryGone());
  store.lists.at(1)({metadata::page{{ItemAt("b", 12)}, false, 12}});
  BOOST_TEST(keys == std::set<std::string>{"b"});
}

/// The older listing erased what the newer one and the watch had brought.
BOOST_AUTO_TEST_CASE(AListingThatANewerOneFollowedIsIgnored) {
  store.watches.at(0)(HistoryGone());
  watcher.Refresh();
  store.watches.at(1)(HistoryGone());
  store.lists.at(2)(
      {metadata::page{{ItemAt("a", 5), ItemAt("b", 12)}, false, 12}});
  store.watches.at(2)({metadata::change_list{{{ItemAt("c", 13), false}}, 13}});
  store.lists.at(1)({metadata::page{{ItemAt("a", 5)}, false, 11}});
  BOOST_TEST(keys == (std::set<std::string>{"a", "b", "c"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
