#include "chivecrank/submissions/validation.h"

#include <boost/test/unit_test.hpp>
#include <limits>

#include "chivecrank/submissions/record_codec.h"

namespace chivecrank::submissions {
namespace {

submission Valid() {
  submission made;
  made.id = "a";
  made.steps.resize(2);
  made.steps[0].task_count = 13;
  made.steps[0].demand = {3200, 6000, 1};
  made.steps[1].after = {0};
  return made;
}

bool IsRejected(const submission& offered) {
  const auto checked = Validate(offered);
  return !checked && !checked.error().remedy.empty();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(validation)

BOOST_AUTO_TEST_CASE(AValidSubmissionPasses) {
  BOOST_TEST(Validate(Valid()).has_value());
}

BOOST_AUTO_TEST_CASE(FiguresOutOfRangeAreRejected) {
  const std::int64_t huge = std::numeric_limits<std::int64_t>::max();
  std::vector<submission> malformed(9, Valid());
  malformed[0].steps.clear();
  malformed[1].steps[0].task_count = 0;
  malformed[2].steps[0].demand.processors_milli = -1;
  malformed[3].steps[0].demand.memory_mib = huge;
  malformed[4].steps[0].estimate = std::chrono::milliseconds(huge);
  malformed[5].steps[1].max_per_worker = -1;
  malformed[6].steps[1].after = {1};
  malformed[7].repeats.count = -1;
  malformed[8].repeats.interval = std::chrono::milliseconds(huge);
  for (const submission& offered : malformed)
    BOOST_TEST(IsRejected(offered));
}

BOOST_AUTO_TEST_CASE(TooManyTasksInAllAreRejected) {
  submission many_steps = Valid();
  many_steps.steps.resize(8000);
  for (step_request& step : many_steps.steps)
    step.task_count = 100'000;
  BOOST_TEST(IsRejected(many_steps));
  submission many_occurrences = Valid();
  many_occurrences.repeats.count = 10'000;
  BOOST_TEST(IsRejected(many_occurrences));
  many_occurrences.steps.resize(1);
  many_occurrences.steps[0].task_count = 1;
  BOOST_TEST(Validate(many_occurrences).has_value());
  many_occurrences.repeats.count = 10'001;
  BOOST_TEST(IsRejected(many_occurrences));
  many_occurrences = Valid();
  many_occurrences.repeats.count = 1000;
  BOOST_TEST(Validate(many_occurrences).has_value());
}

BOOST_AUTO_TEST_CASE(ARecordOutOfRangeIsNotTakenFromTheStore) {
  submission stored = Valid();
  BOOST_TEST(DecodeSubmission(EncodeSubmission(stored)).has_value());
  stored.steps[0].task_count = 2'000'000'000;
  BOOST_TEST(!DecodeSubmission(EncodeSubmission(stored)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
