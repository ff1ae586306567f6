#include "chivecrank/scheduling/placement.h"

#include <boost/test/unit_test.hpp>

namespace chivecrank::scheduling {
namespace {

void Accept(shard_state& state, const std::string& id, bool urgent) {
  task_request request;
  request.id = id;
  request.demand = {1000, 100, 0};
  request.urgent = urgent;
  BOOST_REQUIRE(state.Apply(event(task_accepted{request})).has_value());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_suite)

BOOST_AUTO_TEST_CASE(StartsStayWithinWorkerCapacity) {
  shard_state state;
  for (const char* id : {"a", "b", "c", "d"})
    Accept(state, id, false);
  const auto starts =
      PlanStarts(state, {{"w-1", {2000, 1000, 0}}, {"w-2", {1000, 1000, 0}}});
  BOOST_TEST(starts.size() == 3);
}

BOOST_AUTO_TEST_CASE(UrgentTaskStartsBeforeBatchTask) {
  shard_state state;
  Accept(state, "a", false);
  Accept(state, "b", true);
  const auto starts = PlanStarts(state, {{"w-1", {1000, 1000, 0}}});
  BOOST_REQUIRE(starts.size() == 1);
  BOOST_TEST(starts[0].task_id == "b");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::scheduling
