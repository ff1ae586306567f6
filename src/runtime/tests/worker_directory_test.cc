#include "chivecrank/runtime/worker_directory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "chivecrank/base/manual_clock.h"

namespace chivecrank::runtime {
namespace {

constexpr std::string_view kRejected = "worker_entry_rejected";

/// A store that only lists.
class listing_store final : public metadata::store {
 public:
  void Get(const std::string&,
           metadata::callback<std::optional<metadata::item>>) override {}
  void List(const std::string&,
            const std::string&,
            bool,
            metadata::callback<metadata::page> done) override {
    pending_.push_back(std::move(done));
  }
  void Watch(const std::string&,
             metadata::revision,
             std::chrono::milliseconds,
             metadata::callback<metadata::change_list>) override {}
  void Commit(metadata::transaction,
              metadata::callback<metadata::commit_answer>) override {}
  void Grant(std::chrono::milliseconds,
             metadata::callback<metadata::granted_lease>) override {}
  void Renew(metadata::lease_id,
             metadata::callback<metadata::granted_lease>) override {}
  void End(metadata::lease_id, metadata::callback<bool>) override {}

  std::size_t Pending() const { return pending_.size(); }
  /// Answers the oldest call.
  void Answer() {
    const auto done = std::move(pending_.front());
    pending_.erase(pending_.begin());
    metadata::page page;
    page.items = items;
    done(std::move(page));
  }

  std::vector<metadata::item> items;

 private:
  std::vector<metadata::callback<metadata::page>> pending_;
};

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
    store.Answer();
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
  listing_store store;
  worker_directory directory{loop, store, log, {"workers/", Decode}, {}};
  int listed = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(worker_directory_suite, fixture)

/// The review's trial: each odd entry was told of again at every listing.
BOOST_AUTO_TEST_CASE(AnOddEntryIsToldOfOnceAndHidesNoOther) {
  store.items = {{"workers/odd", "[[[[", 5, 0}, {"workers/w", "good", 6, 0}};
  for (int i = 0; i < 5; ++i)
    List();
  BOOST_TEST(listed == 5);
  BOOST_TEST(directory.Workers().size() == 1u);
  BOOST_TEST(Rejections() == 1u);
  store.items[0].changed_at = 7;
  List();
  BOOST_TEST(Rejections() == 2u);
}

/// A listing that was sent before the store went away may be answered after
/// its return.
BOOST_AUTO_TEST_CASE(AListingFromBeforeIsNoAnswerToARefresh) {
  store.items = {{"workers/w", "good", 6, 0}};
  clock.Advance(std::chrono::seconds(3));
  const base::time_point wanted_as_of = clock.Now();
  directory.Refresh(wanted_as_of);
  BOOST_REQUIRE(store.Pending() == 2u);
  store.Answer();
  BOOST_TEST(listed == 0);
  BOOST_TEST((directory.AsOf() < wanted_as_of));
  store.Answer();
  BOOST_TEST(listed == 1);
  BOOST_TEST((directory.AsOf() == wanted_as_of));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
