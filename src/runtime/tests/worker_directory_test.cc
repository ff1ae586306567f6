#include "chivecrank/runtime/worker_directory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "chivecrank/base/manual_clock.h"
#include "tests/scripted_store.h"

namespace chivecrank::runtime {
namespace {

constexpr std::string_view kRejected = "worker_entry_rejected";

/// A directory whose entries name a worker if they are "good".
struct fixture {
  fixture() {
    directory.Start([] { return true; }, [this] { ++listed; });
  }

  static base::result<submissions::worker_description> Decode(
      std::string_view id,
      std::string_view entry) {
    if (entry != "good")
      return base::error{base::error_kind::kCorrupt, "malformed", "rewrite it"};
    submissions::worker_description worker;
    worker.id = std::string(id);
    return worker;
  }

  void List() {
    store.AnswerNextList();
    clock.Advance(std::chrono::seconds(1));
    loop.RunOnce(base::milliseconds(0));
  }

  std::size_t Rejections() {
    log.Flush();
    std::size_t count = 0;
    for (std::size_t at = lines.find(kRejected); at != std::string::npos;
         at = lines.find(kRejected, at + 1))
      ++count;
    return count;
  }

  base::manual_clock clock;
  reactor::event_loop loop{clock};
  std::string lines;
  event_log::event_log log{clock, "node", {}, [this](std::string_view bytes) {
                             lines += bytes;
                             return bytes.size();
                           }};
  scripted_store store;
  worker_directory directory{loop, store, log, {"workers/", Decode}, {}};
  int listed = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(worker_directory_suite, fixture)

/// The review's trial: each odd entry was told of again at every listing.
BOOST_AUTO_TEST_CASE(AnOddEntryIsToldOfOnceAndHidesNoOther) {
  store.items["workers/odd"] = {"workers/odd", "[[[[", 5};
  store.items["workers/w"] = {"workers/w", "good", 6};
  for (int i = 0; i < 5; ++i)
    List();
  BOOST_TEST(listed == 5);
  BOOST_TEST(directory.Workers().size() == 1u);
  BOOST_TEST(Rejections() == 1u);
  store.items["workers/odd"].changed_at = 7;
  List();
  BOOST_TEST(Rejections() == 2u);
}

/// A listing that was sent before the store went away may be answered after
/// its return.
BOOST_AUTO_TEST_CASE(AListingFromBeforeIsNoAnswerToARefresh) {
  store.items["workers/w"] = {"workers/w", "good", 6};
  clock.Advance(std::chrono::seconds(3));
  const base::time_point wanted_as_of = clock.Now();
  directory.Refresh(wanted_as_of);
  BOOST_REQUIRE(store.lists.size() == 2u);
  store.AnswerNextList();
  BOOST_TEST(listed == 0);
  BOOST_TEST((directory.AsOf() < wanted_as_of));
  store.AnswerNextList();
  BOOST_TEST(listed == 1);
  BOOST_TEST((directory.AsOf() == wanted_as_of));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
