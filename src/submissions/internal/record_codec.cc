#include "chivecrank/submissions/record_codec.h"

#include <cmath>

#include <array>
#include <utility>

#include "chivecrank/json/reader.h"
#include "chivecrank/json/writer.h"
#include "chivecrank/submissions/validation.h"

namespace chivecrank::submissions {
namespace {

/// Interference estimates are stored in thousandths.
constexpr double kEstimateScale = 1000;
constexpr rapidjson::SizeType kEstimateColumns = 4;
/// A worker's identifier and address; a bound of its lease may follow.
constexpr rapidjson::SizeType kWorkerColumns = 2;

/// Columns of a task's row in a journal entry, in stored order.
enum task_column : std::size_t {
  kSubmission,
  kOccurrence,
  kStep,
  kIndex,
  kPhase,
  kRun,
  kWorker,
  kWorkerStartedAt,
  kFailures,
  kLastCountedFailure,
  kLastFailedWorker,
  kCheckpoint,
  kTaskColumns,
  /// Follow only if a worker of the task fell silent or crashed.
  kDoubtedRun = kTaskColumns,
  kDoubtedRunConfirmed,
  kCrashes,
  kConfirmedCrashes,
  kCrashBlame,
};

base::error Corrupt(std::string_view what) {
  return {base::error_kind::kCorrupt,
          "the record of " + std::string(what) + " is malformed",
          "check whether another program writes to this key"};
}

void WriteStep(json::writer& text, const step_request& step) {
  text.BeginObject()
      .Field("tasks", step.task_count)
      .Field("cpu", step.demand.processors_milli)
      .Field("memory", step.demand.memory_mib)
      .Field("accelerators", step.demand.accelerators)
      .Field("estimate", step.estimate.count());
  if (!step.after.empty()) {
    text.Key("after").BeginArray();
    for (const std::int32_t earlier : step.after)
      text.Integer(earlier);
    text.EndArray();
  }
  const std::array<std::pair<std::string_view, bool>, 6> flags = {{
      {"checkpoints", step.checkpoints},
      {"gang", step.gang},
      {"same_rack", step.same_rack},
      {"speculative", step.speculative},
      {"lasting", step.long_running},
      {"fills", step.best_effort},
  }};
  for (const auto& [name, set] : flags)
    if (set)
      text.Flag(name, true);
  const std::array<std::pair<std::string_view, std::string_view>, 3> texts = {{
      {"label", step.required_label},
      {"data_rack", step.data_rack},
      {"image", step.image},
  }};
  for (const auto& [name, value] : texts)
    if (!value.empty())
      text.Field(name, value);
  text.Field("per_worker", step.max_per_worker)
      .Field("away", step.max_unavailable)
      .Field("latency", step.latency_target.count())
      .EndObject();
}

step_request ReadStep(const json::value& object) {
  step_request step;
  step.task_count =
      static_cast<std::int32_t>(json::IntegerOf(object, "tasks", 1));
  step.demand.processors_milli = json::IntegerOf(object, "cpu");
  step.demand.memory_mib = json::IntegerOf(object, "memory");
  step.demand.accelerators = json::IntegerOf(object, "accelerators");
  step.estimate =
      std::chrono::milliseconds(json::IntegerOf(object, "estimate"));
  if (const json::value* after = json::ArrayOf(object, "after"))
    for (std::size_t i = 0; i < after->Size(); ++i)
      step.after.push_back(
          static_cast<std::int32_t>(json::IntegerAt(*after, i)));
  step.checkpoints = json::BooleanOf(object, "checkpoints");
  step.gang = json::BooleanOf(object, "gang");
  step.same_rack = json::BooleanOf(object, "same_rack");
  step.speculative = json::BooleanOf(object, "speculative");
  step.long_running = json::BooleanOf(object, "lasting");
  step.best_effort = json::BooleanOf(object, "fills");
  step.required_label = json::StringOf(object, "label");
  step.data_rack = json::StringOf(object, "data_rack");
  step.image = json::StringOf(object, "image");
  step.max_per_worker =
      static_cast<std::int32_t>(json::IntegerOf(object, "per_worker"));
  step.max_unavailable =
      static_cast<std::int32_t>(json::IntegerOf(object, "away"));
  step.latency_target =
      std::chrono::milliseconds(json::IntegerOf(object, "latency"));
  return step;
}

void WriteTask(json::writer& text, const task_change& change) {
  const task_progress& progress = change.progress;
  text.BeginArray()
      .String(change.task.submission)
      .Integer(change.task.occurrence)
      .Integer(change.task.step)
      .Integer(change.task.index)
      .Integer(static_cast<std::int64_t>(progress.phase))
      .Integer(progress.run)
      .String(progress.worker)
      .Integer(progress.worker_started_at_ms)
      .Integer(progress.failures)
      .Integer(progress.last_counted_failure)
      .String(progress.last_failed_worker)
      .String(progress.checkpoint);
  if (progress.crashes > 0 || progress.doubted_run > 0)
    text.Integer(progress.doubted_run)
        .Integer(progress.doubted_run_confirmed ? 1 : 0)
        .Integer(progress.crashes)
        .Integer(progress.confirmed_crashes)
        .Integer(progress.crash_blame_permille);
  text.EndArray();
}

base::result<task_change> ReadTask(const json::value& row) {
  if (!row.IsArray() || row.Size() < kTaskColumns)
    return Corrupt("a task");
  const std::int64_t phase = json::IntegerAt(row, kPhase, -1);
  if (phase < 0 || phase > static_cast<std::int64_t>(task_phase::kDone))
    return Corrupt("a task");
  task_change change;
  change.task = {json::StringAt(row, kSubmission),
                 static_cast<std::int32_t>(json::IntegerAt(row, kOccurrence)),
                 static_cast<std::int32_t>(json::IntegerAt(row, kStep)),
                 static_cast<std::int32_t>(json::IntegerAt(row, kIndex))};
  task_progress& progress = change.progress;
  progress.phase = static_cast<task_phase>(phase);
  progress.run = static_cast<std::int32_t>(json::IntegerAt(row, kRun));
  progress.worker = json::StringAt(row, kWorker);
  progress.worker_started_at_ms = json::IntegerAt(row, kWorkerStartedAt);
  progress.failures =
      static_cast<std::int32_t>(json::IntegerAt(row, kFailures));
  progress.last_counted_failure =
      static_cast<std::int32_t>(json::IntegerAt(row, kLastCountedFailure));
  progress.last_failed_worker = json::StringAt(row, kLastFailedWorker);
  progress.checkpoint = json::StringAt(row, kCheckpoint);
  progress.doubted_run =
      static_cast<std::int32_t>(json::IntegerAt(row, kDoubtedRun));
  progress.doubted_run_confirmed =
      json::IntegerAt(row, kDoubtedRunConfirmed) != 0;
  progress.confirmed_crashes =
      static_cast<std::int32_t>(json::IntegerAt(row, kConfirmedCrashes));
  progress.crashes = static_cast<std::int32_t>(json::IntegerAt(row, kCrashes));
  progress.crash_blame_permille =
      static_cast<std::int32_t>(json::IntegerAt(row, kCrashBlame));
  return change;
}

void WriteEstimates(json::writer& text,
                    const std::vector<interference_estimate>& estimates) {
  text.Key("learned").BeginArray();
  for (const interference_estimate& pair : estimates)
    text.BeginArray()
        .String(pair.service_image)
        .String(pair.best_effort_image)
        .Integer(std::lround(pair.slope * kEstimateScale))
        .Integer(std::lround(pair.variance * kEstimateScale))
        .EndArray();
  text.EndArray();
}

base::result<interference_estimate> ReadEstimate(const json::value& row) {
  if (!row.IsArray() || row.Size() < kEstimateColumns)
    return Corrupt("an interference estimate");
  return interference_estimate{
      json::StringAt(row, 0), json::StringAt(row, 1),
      static_cast<double>(json::IntegerAt(row, 2)) / kEstimateScale,
      static_cast<double>(json::IntegerAt(row, 3)) / kEstimateScale};
}

/// Empty for an unknown address.
std::string AddressText(const settings::endpoint& address) {
  return address.port == 0 ? std::string() : settings::ToString(address);
}

void WriteWorkers(json::writer& text,
                  const std::vector<worker_record>& workers) {
  text.Key("workers").BeginArray();
  for (const worker_record& record : workers) {
    text.BeginArray().String(record.worker).String(AddressText(record.address));
    if (record.lease_left)
      text.Integer(record.lease_left->count());
    text.EndArray();
  }
  text.EndArray();
}

base::result<worker_record> ReadWorker(const json::value& row) {
  if (!row.IsArray() || row.Size() < kWorkerColumns)
    return Corrupt("a worker");
  worker_record record;
  record.worker = json::StringAt(row, 0);
  const std::string address_text = json::StringAt(row, 1);
  if (!address_text.empty()) {
    const auto address = settings::ParseEndpoint(address_text);
    if (!address)
      return Corrupt("a worker");
    record.address = *address;
  }
  if (row.Size() > kWorkerColumns) {
    const std::int64_t left = json::IntegerAt(row, kWorkerColumns, -1);
    if (left < 0)
      return Corrupt("a worker");
    record.lease_left = std::chrono::milliseconds(left);
  }
  return record;
}

}  // namespace

std::string EncodeSubmission(const submission& accepted) {
  json::writer text;
  text.BeginObject()
      .Field("id", accepted.id)
      .Field("queue", accepted.queue)
      .Field("service", accepted.policy.service)
      .Field("priority", accepted.policy.priority)
      .Field("attempts", accepted.policy.attempt_limit)
      .Field("target", accepted.policy.target_run_time.count())
      .Field("shard", accepted.shard)
      .Field("accepted", accepted.accepted_since_epoch.count())
      .Field("spec", accepted.spec);
  text.Key("stretch").Number(accepted.policy.stretch);
  if (const auto& permits = accepted.policy.permits)
    text.Field("permit_request", permits->per_request.count())
        .Field("permit_worker", permits->per_worker.count())
        .Field("permit_valid", permits->validity.count());
  if (accepted.repeats.count > 0) {
    text.Field("times", accepted.repeats.count)
        .Field("first_due", accepted.repeats.first_due_since_epoch.count())
        .Field("interval", accepted.repeats.interval.count());
  }
  text.Key("steps").BeginArray();
  for (const step_request& step : accepted.steps)
    WriteStep(text, step);
  text.EndArray().EndObject();
  return text.Text();
}

base::result<submission> DecodeSubmission(std::string_view text) {
  const auto parsed = json::ParseObject(text);
  if (!parsed)
    return Corrupt("a submission");
  const json::value& object = parsed.value();
  const json::value* steps = json::ArrayOf(object, "steps");
  submission read;
  read.id = json::StringOf(object, "id");
  if (read.id.empty() || steps == nullptr)
    return Corrupt("a submission");
  read.queue = json::StringOf(object, "queue");
  read.policy.service = json::StringOf(object, "service");
  read.policy.priority =
      static_cast<std::int32_t>(json::IntegerOf(object, "priority"));
  read.policy.attempt_limit =
      static_cast<std::int32_t>(json::IntegerOf(object, "attempts", 1));
  read.policy.target_run_time =
      std::chrono::milliseconds(json::IntegerOf(object, "target"));
  read.policy.stretch = json::NumberOf(object, "stretch", 1);
  if (json::MemberOf(object, "permit_valid") != nullptr)
    read.policy.permits = permit_timing{
        std::chrono::milliseconds(json::IntegerOf(object, "permit_request")),
        std::chrono::milliseconds(json::IntegerOf(object, "permit_worker")),
        std::chrono::milliseconds(json::IntegerOf(object, "permit_valid"))};
  read.shard = static_cast<std::uint32_t>(json::IntegerOf(object, "shard"));
  read.accepted_since_epoch =
      std::chrono::milliseconds(json::IntegerOf(object, "accepted"));
  read.spec = json::StringOf(object, "spec");
  read.repeats.count =
      static_cast<std::int32_t>(json::IntegerOf(object, "times"));
  read.repeats.first_due_since_epoch =
      std::chrono::milliseconds(json::IntegerOf(object, "first_due"));
  read.repeats.interval =
      std::chrono::milliseconds(json::IntegerOf(object, "interval"));
  for (const json::value& step : steps->GetArray())
    read.steps.push_back(ReadStep(step));
  BOOST_OUTCOME_TRYV(Validate(read));
  return read;
}

std::string EncodeJournalEntry(const journal_entry& entry) {
  return EncodeJournalEntry(entry, entry.tasks);
}

std::string EncodeJournalEntry(const journal_entry& entry,
                               std::span<const task_change> tasks) {
  json::writer text;
  text.BeginObject().Flag("whole", entry.is_snapshot).Key("tasks").BeginArray();
  for (const task_change& change : tasks)
    WriteTask(text, change);
  text.EndArray();
  if (!entry.interference_estimates.empty())
    WriteEstimates(text, entry.interference_estimates);
  if (!entry.workers.empty())
    WriteWorkers(text, entry.workers);
  text.EndObject();
  return text.Text();
}

base::result<journal_entry> DecodeJournalEntry(std::string_view text) {
  const auto parsed = json::ParseObject(text);
  if (!parsed)
    return Corrupt("a journal entry");
  const json::value* rows = json::ArrayOf(parsed.value(), "tasks");
  if (rows == nullptr)
    return Corrupt("a journal entry");
  journal_entry entry;
  entry.is_snapshot = json::BooleanOf(parsed.value(), "whole");
  for (const json::value& row : rows->GetArray()) {
    BOOST_OUTCOME_TRY(change, ReadTask(row));
    entry.tasks.push_back(std::move(change));
  }
  if (const json::value* estimates = json::ArrayOf(parsed.value(), "learned"))
    for (const json::value& row : estimates->GetArray()) {
      BOOST_OUTCOME_TRY(pair, ReadEstimate(row));
      entry.interference_estimates.push_back(std::move(pair));
    }
  if (const json::value* workers = json::ArrayOf(parsed.value(), "workers"))
    for (const json::value& row : workers->GetArray()) {
      BOOST_OUTCOME_TRY(record, ReadWorker(row));
      entry.workers.push_back(std::move(record));
    }
  return entry;
}

std::string EncodeOutcome(submission_outcome outcome) {
  return std::string(SubmissionOutcomeName(outcome));
}

base::result<submission_outcome> DecodeOutcome(std::string_view text) {
  for (const submission_outcome outcome :
       {submission_outcome::kCompleted, submission_outcome::kFailed,
        submission_outcome::kCancelled})
    if (SubmissionOutcomeName(outcome) == text)
      return outcome;
  return Corrupt("an outcome");
}

}  // namespace chivecrank::submissions
