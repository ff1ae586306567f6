#include "chivecrank/runtime/drained_domains.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"

namespace chivecrank::runtime {
namespace {

constexpr std::string_view kPrefix = "drain/";

base::result<std::optional<std::string>> Decode(std::string_view key) {
  if (!key.starts_with(kPrefix))
    return std::optional<std::string>();
  if (key == kPrefix)
    return base::error{base::error_kind::kCorrupt, "no domain", "name one"};
  return std::optional<std::string>(key.substr(kPrefix.size()));
}

struct drains_fixture {
  static metadata::item Item(const std::string& key) {
    metadata::item item;
    item.key = key;
    return item;
  }
  void Change(const std::string& key, bool deleted) {
    metadata::change change;
    change.now = Item(key);
    change.deleted = deleted;
    drains.Apply(change);
  }
  bool Logged(const std::string& event) const {
    return lines.find("\"" + event + "\"") != std::string::npos;
  }
  void TakeLog() { log.Flush(); }

  base::manual_clock clock;
  std::string lines;
  event_log::event_log log{clock, "node", {}, [this](std::string_view bytes) {
                             lines += bytes;
                             return bytes.size();
                           }};
  int changes = 0;
  drained_domains drains{log, &Decode, [this] { ++changes; }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(drained_domains_suite, drains_fixture)

BOOST_AUTO_TEST_CASE(OverlappingDrainsEndInAnyOrder) {
  Change("drain/a", false);
  Change("drain/b", false);
  Change("drain/a", true);
  BOOST_TEST((drains.Domains() == std::set<std::string>{"b"}));
  Change("drain/b", true);
  BOOST_TEST(drains.Domains().empty());
  BOOST_TEST(changes == 4);
}

BOOST_AUTO_TEST_CASE(ADrainThatIsTakenBackAndAskedForAgainHolds) {
  Change("drain/a", false);
  Change("drain/a", true);
  Change("drain/a", false);
  BOOST_TEST((drains.Domains() == std::set<std::string>{"a"}));
}

BOOST_AUTO_TEST_CASE(AListingEndsDrainsWhoseKeysAreGone) {
  Change("drain/a", false);
  Change("drain/b", false);
  drains.Reset({Item("drain/b"), Item("queues")});
  BOOST_TEST((drains.Domains() == std::set<std::string>{"b"}));
  TakeLog();
  BOOST_TEST(Logged("domain_drain_over"));
}

BOOST_AUTO_TEST_CASE(KeysThatNameNoDomainAreLoggedAndHaveNoEffect) {
  Change("drain/", false);
  Change("queues", false);
  drains.Reset({Item("drain/"), Item("queues")});
  BOOST_TEST(drains.Domains().empty());
  BOOST_TEST(changes == 0);
  TakeLog();
  BOOST_TEST(Logged("domain_drain_rejected"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::runtime
