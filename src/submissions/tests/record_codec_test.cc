#include <boost/test/unit_test.hpp>

#include "chivecrank/submissions/record_codec.h"

namespace chivecrank::submissions {

BOOST_AUTO_TEST_SUITE(record_codec)

BOOST_AUTO_TEST_CASE(SubmissionRoundTripPreservesAllFields) {
  submission written;
  written.id = "5c0e7a21d94b36f8";
  written.queue = "queue";
  written.policy = {"service", 2, 4, 1.5, std::chrono::milliseconds(250)};
  written.policy.permits =
      permit_timing{std::chrono::milliseconds(20), std::chrono::milliseconds(3),
                    std::chrono::milliseconds(3000)};
  written.shard = 3;
  written.accepted_since_epoch = std::chrono::milliseconds(1'700'000'000'123);
  written.spec = "line\n\"quoted\" \xc3\xa9";
  step_request step;
  step.task_count = 4;
  step.demand = {500, 256, 1};
  step.estimate = std::chrono::milliseconds(900);
  step.required_label = "b";
  step.data_rack = "r1-3";
  step.max_per_worker = 2;
  step.max_unavailable = 1;
  step.image = "image";
  step.latency_target = std::chrono::milliseconds(18);
  step.long_running = true;
  written.steps = {step, step};
  written.steps[1].after = {0};
  written.steps[1].gang = true;
  written.steps[1].same_rack = true;
  written.steps[1].speculative = true;
  written.steps[1].best_effort = true;
  written.steps[1].checkpoints = true;
  written.repeats = {3, std::chrono::milliseconds(5),
                     std::chrono::milliseconds(7)};
  const auto read = DecodeSubmission(EncodeSubmission(written));
  BOOST_REQUIRE(read);
  BOOST_TEST((read.value() == written));
}

BOOST_AUTO_TEST_CASE(JournalEntryRoundTripPreservesTasks) {
  task_change change;
  change.task = {"a", 1, 2, 3};
  change.progress = {
      task_phase::kAssigned, 5, "w-1", 77, 1, 4, "w-0", "c0ffee"};
  const auto read = DecodeJournalEntry(EncodeJournalEntry({true, {change}}));
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().is_snapshot);
  BOOST_REQUIRE(read.value().tasks.size() == 1u);
  BOOST_TEST((read.value().tasks[0].task == change.task));
  BOOST_TEST((read.value().tasks[0].progress == change.progress));
}

BOOST_AUTO_TEST_CASE(JournalEntryRoundTripPreservesCrashes) {
  task_change change;
  change.task = {"a", 0, 0, 0};
  change.progress.run = 3;
  change.progress.doubted_run = 3;
  change.progress.doubted_run_confirmed = true;
  change.progress.crashes = 2;
  change.progress.confirmed_crashes = 1;
  change.progress.crash_blame_permille = 1250;
  const auto read = DecodeJournalEntry(EncodeJournalEntry({false, {change}}));
  BOOST_REQUIRE(read);
  BOOST_REQUIRE(read.value().tasks.size() == 1u);
  BOOST_TEST((read.value().tasks[0].progress == change.progress));
}

BOOST_AUTO_TEST_CASE(ATaskWrittenBeforeCrashesWereCountedIsRead) {
  const auto read = DecodeJournalEntry(
      R"({"tasks":[["a",0,0,0,1,5,"w-1",77,1,4,"w-0","c0ffee"]]})");
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().tasks.at(0).progress.crashes == 0);
  BOOST_TEST(read.value().tasks.at(0).progress.checkpoint == "c0ffee");
}

BOOST_AUTO_TEST_CASE(JournalEntryRoundTripPreservesWorkers) {
  journal_entry written;
  written.workers = {{"w-1", {"10.0.0.1", 8367}, {}},
                     {"w-2", {"10.0.0.2", 8367}, std::chrono::milliseconds(77)},
                     {"w-3", {}, std::chrono::milliseconds(0)}};
  const auto read = DecodeJournalEntry(EncodeJournalEntry(written));
  BOOST_REQUIRE(read);
  BOOST_TEST((read.value().workers == written.workers));
}

BOOST_AUTO_TEST_CASE(MalformedRecordsAreRejected) {
  BOOST_TEST(!DecodeSubmission("{}"));
  BOOST_TEST(!DecodeSubmission("\xff"));
  BOOST_TEST(!DecodeJournalEntry("{\"tasks\":[[1]]}"));
  BOOST_TEST(!DecodeJournalEntry("{}"));
  BOOST_TEST(!DecodeJournalEntry("{\"tasks\":[],\"workers\":[[\"w-1\"]]}"));
  BOOST_TEST(!DecodeJournalEntry(
      "{\"tasks\":[],\"workers\":[[\"w-1\",\"nowhere\"]]}"));
  BOOST_TEST(!DecodeJournalEntry(
      "{\"tasks\":[],\"workers\":[[\"w-1\",\"10.0.0.1:80\",-5]]}"));
  BOOST_TEST(!DecodeOutcome("done"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::submissions
