#include "chivecrank/configuration/drained_instance_list.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/configuration/difference.h"
#include "tests/sample.h"

namespace chivecrank::configuration {
namespace {

struct fixed_list final : coordination::instance_list {
  base::result<std::vector<coordination::instance>> List() override {
    std::vector<coordination::instance> all(3);
    all[0].id = "w-1";
    all[0].rack = "r1";
    all[1].id = "w-2";
    all[1].rack = "r2";
    all[2].kind = coordination::instance_kind::kSystem;
    all[2].rack = "r1";
    return all;
  }
};

struct fixed_view final : view {
  shared_snapshot Current() const override { return current; }
  shared_snapshot current;
};

}  // namespace

BOOST_AUTO_TEST_CASE(DrainedWorkersAreLeavingButSystemInstancesAreNot) {
  fixed_list source;
  fixed_view configured;
  drained_instance_list drained(source, configured);
  BOOST_TEST(!drained.List().has_value());
  snapshot accepted;
  accepted.content = SampleContent();
  configured.current = std::make_shared<const snapshot>(accepted);
  const auto listed = drained.List().value();
  BOOST_TEST((listed[0].state == coordination::instance_state::kLeaving));
  BOOST_TEST((listed[1].state == coordination::instance_state::kLive));
  BOOST_TEST((listed[2].state == coordination::instance_state::kLive));
}

BOOST_AUTO_TEST_CASE(ComparisonListsEachAddedChangedAndRemovedElement) {
  const content before = SampleContent();
  content after = before;
  after.drains.clear();
  after.teams[0].quota.memory_mib += 1;
  after.teams.push_back({"nights", {}});
  const auto found = Compare(before, after);
  BOOST_REQUIRE(found.size() == 3);
  BOOST_TEST((found[0].kind == difference_kind::kChanged));
  BOOST_TEST(found[1].name == "nights");
  BOOST_TEST(found[2].name == "rack r1");
  BOOST_TEST((found[2].kind == difference_kind::kRemoved));
}

}  // namespace chivecrank::configuration
