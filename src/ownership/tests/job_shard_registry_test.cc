#include "chivecrank/ownership/job_shard_registry.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/coordination/memory_store.h"

namespace chivecrank::ownership {

BOOST_AUTO_TEST_SUITE(job_shard_registry_suite)

BOOST_AUTO_TEST_CASE(RepeatedSubmissionGetsTheRecordedShard) {
  base::manual_clock clock;
  coordination::memory_store store(clock);
  job_shard_registry first(store);
  job_shard_registry second(store);
  BOOST_TEST(first.FindOrAssignShard("job", "r1").value() == "r1");
  BOOST_TEST(second.FindOrAssignShard("job", "r2").value() == "r1");
  BOOST_TEST(first.FindOrAssignShard("job", "r2").value() == "r1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::ownership
