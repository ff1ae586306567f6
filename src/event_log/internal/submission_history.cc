#include "chivecrank/event_log/submission_history.h"

#include <algorithm>
#include <set>
#include <utility>

#include "chivecrank/base/numbers.h"
#include "chivecrank/json/reader.h"
#include "chivecrank/json/writer.h"

namespace chivecrank::event_log {
namespace {

constexpr std::string_view kTime = "time_ms";
constexpr std::string_view kInstance = "instance";
constexpr std::string_view kEvent = "event";
constexpr std::string_view kSubmission = "submission";

/// Shortest wait for the first run that is reported as a cause.
constexpr std::int64_t kMinReportedWaitMs = 1000;
/// A task that starts this much later than the first task of its step is
/// reported to have waited for capacity.
constexpr std::int64_t kMinCapacityWaitMs = 200;
/// Shortest run that is reported as a cause.
constexpr std::int64_t kMinReportedRunMs = 4000;
/// Events that belong to no submission are considered from this long before the
/// submission's first event until its last.
constexpr std::int64_t kLookbackMs = 3000;

std::string TextOf(const json::value& value) {
  if (value.IsString())
    return {value.GetString(), value.GetStringLength()};
  if (value.IsInt64())
    return std::to_string(value.GetInt64());
  if (value.IsBool())
    return value.GetBool() ? "true" : "false";
  return {};
}

std::string TaskOf(const history_event& event) {
  return event.Field("occurrence") + "." + event.Field("step") + "." +
         event.Field("task");
}

const history_event* Last(const std::vector<history_event>& events,
                          std::string_view name) {
  const auto found = std::find_if(
      events.rbegin(), events.rend(),
      [&](const history_event& event) { return event.event == name; });
  return found == events.rend() ? nullptr : &*found;
}

const history_event* First(const std::vector<history_event>& events,
                           std::string_view name) {
  const auto found = std::ranges::find(events, name, &history_event::event);
  return found == events.end() ? nullptr : &*found;
}

std::size_t Count(const std::vector<history_event>& events,
                  std::string_view name,
                  const std::string& outcome = {}) {
  return static_cast<std::size_t>(
      std::ranges::count_if(events, [&](const history_event& event) {
        return event.event == name &&
               (outcome.empty() || event.Field("outcome") == outcome);
      }));
}

std::string OutcomeOf(const std::vector<history_event>& events) {
  if (const history_event* ended = Last(events, "submission_ended"))
    return ended->Field("outcome");
  if (First(events, "submission_accepted") != nullptr)
    return First(events, "task_assigned") != nullptr ? "running" : "waiting";
  if (First(events, "submission_in_doubt") != nullptr)
    return "in doubt";
  if (First(events, "submission_rejected") != nullptr)
    return "rejected";
  return "not seen";
}

void ExplainAnswer(const std::vector<history_event>& events,
                   std::vector<std::string>& causes) {
  for (const history_event& event : events) {
    if (event.event == "submission_rejected")
      causes.push_back("rejected by " + event.instance + ": " +
                       event.Field("reason"));
    if (event.event == "submission_in_doubt")
      causes.push_back("the store did not answer " + event.instance +
                       " within the timeout");
  }
}

void ExplainFailure(const std::vector<history_event>& events,
                    std::vector<std::string>& causes) {
  std::map<std::string, std::set<std::string>> workers_of;
  for (const history_event& event : events)
    if (event.event == "run_ended" && event.Field("outcome") == "failed")
      workers_of[TaskOf(event)].insert(event.Field("worker"));
  for (const auto& [task, workers] : workers_of) {
    std::string cause = "task " + task + " failed on";
    for (const std::string& worker : workers)
      cause += " " + worker;
    if (workers.size() > 1)
      cause += " (distinct workers, so the task itself is the likely cause)";
    causes.push_back(std::move(cause));
  }
}

/// Reports runs with a long time from assignment to end.
void ExplainRuns(const std::vector<history_event>& events,
                 std::vector<std::string>& causes) {
  std::map<std::string, std::int64_t> assigned_at;
  for (const history_event& event : events) {
    const std::string run = TaskOf(event) + " run " + event.Field("run");
    if (event.event == "task_assigned")
      assigned_at[run] = event.time_ms;
    const bool is_end = event.event == "run_ended" || event.event == "run_lost";
    const auto assignment = assigned_at.find(run);
    if (!is_end || assignment == assigned_at.end() ||
        event.time_ms - assignment->second < kMinReportedRunMs)
      continue;
    causes.push_back("task " + run + " took " +
                     std::to_string(event.time_ms - assignment->second) +
                     " ms on " + event.Field("worker") + " and ended as " +
                     event.Field("outcome"));
  }
}

/// All tasks of a step can start at the same time, so a later start means that
/// capacity was missing.
void ExplainCapacityWaits(const std::vector<history_event>& events,
                          std::vector<std::string>& causes) {
  struct first_runs {
    std::int64_t first_ms = 0;
    std::int64_t last_ms = 0;
  };
  std::map<std::pair<std::int64_t, std::int64_t>, first_runs> steps;
  for (const history_event& event : events) {
    if (event.event != "task_assigned" || event.Number("run") != 1)
      continue;
    const auto [found, is_new] =
        steps.try_emplace({event.Number("occurrence"), event.Number("step")},
                          first_runs{event.time_ms, event.time_ms});
    found->second.last_ms = event.time_ms;
  }
  for (const auto& [step, runs] : steps)
    if (runs.last_ms - runs.first_ms >= kMinCapacityWaitMs)
      causes.push_back(
          "tasks of step " + std::to_string(step.second) + " waited up to " +
          std::to_string(runs.last_ms - runs.first_ms) + " ms for capacity");
}

/// Explains the duration of an ended submission for which no other cause was
/// found.
void ExplainRemainder(const std::vector<history_event>& events,
                      std::vector<std::string>& causes) {
  const history_event* accepted = First(events, "submission_accepted");
  const history_event* ended = First(events, "submission_ended");
  if (!causes.empty() || accepted == nullptr || ended == nullptr)
    return;
  causes.push_back("took " +
                   std::to_string(ended->time_ms - accepted->time_ms) +
                   " ms from acceptance to end, which is the tasks' own time; "
                   "any further delay was before its acceptance");
}

void ExplainDelay(const std::vector<history_event>& events,
                  std::vector<std::string>& causes) {
  const history_event* accepted = First(events, "submission_accepted");
  const history_event* assigned = First(events, "task_assigned");
  if (accepted != nullptr && assigned != nullptr &&
      assigned->time_ms - accepted->time_ms >= kMinReportedWaitMs)
    causes.push_back("waited " +
                     std::to_string(assigned->time_ms - accepted->time_ms) +
                     " ms for its first run");
  ExplainCapacityWaits(events, causes);
  const std::pair<std::string_view, std::string_view> counted[] = {
      {"run_lost", "runs were lost with their worker or its lease"},
      {"start_refused", "start commands were rejected or unanswered"},
      {"fills_throttled",
       "speed changes of best-effort runs beside a service near its latency "
       "target"},
      {"fill_moved", "best-effort runs were moved away from a service"},
      {"stalled_moved", "stalled runs were moved to other workers"},
      {"task_evacuated", "runs were moved away from a leaving worker"},
  };
  for (const auto& [event, text] : counted)
    if (const std::size_t times = Count(events, event))
      causes.push_back(std::to_string(times) + " " + std::string(text));
  if (const std::size_t failed = Count(events, "run_ended", "failed"))
    causes.push_back(std::to_string(failed) + " runs failed");
}

bool IsRelevantContext(const history_event& event) {
  static const std::set<std::string_view> relevant_events = {
      "shard_lost",     "shard_won",  "store_lost",
      "store_regained", "lease_lost", "commit_failed"};
  return relevant_events.contains(event.event);
}

/// Reports lost and regained dependencies and dropped log lines from the time
/// of the submission.
void ExplainContext(const std::vector<history_event>& events,
                    const std::vector<history_event>& context_events,
                    submission_history& history) {
  if (events.empty())
    return;
  const std::int64_t from = events.front().time_ms - kLookbackMs;
  const std::int64_t to = events.back().time_ms;
  std::map<std::string, std::size_t> counts;
  for (const history_event& event : context_events) {
    if (event.time_ms < from || event.time_ms > to)
      continue;
    if (event.event == "lines_left_out")
      history.gaps.push_back(event.instance + " dropped " +
                             event.Field("count") + " lines of " +
                             event.Field("of"));
    else if (IsRelevantContext(event))
      ++counts[event.event + " on " + event.instance];
  }
  for (const auto& [what, times] : counts)
    history.causes.push_back(
        "meanwhile: " + what +
        (times > 1 ? ", " + std::to_string(times) + " times" : ""));
}

}  // namespace

std::string history_event::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

std::int64_t history_event::Number(const std::string& name) const {
  return base::ParseInteger<std::int64_t>(Field(name)).value_or(0);
}

history_reader::history_reader(std::string submission)
    : submission_(std::move(submission)) {}

void history_reader::Read(std::istream& log) {
  std::string line;
  while (std::getline(log, line))
    ReadLine(line);
}

void history_reader::ReadLine(std::string_view line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string_view::npos)
    return;
  const auto parsed = json::ParseObject(line.substr(begin));
  if (!parsed)
    return;
  history_event event;
  for (const auto& member : parsed.value().GetObject()) {
    const std::string_view name(member.name.GetString(),
                                member.name.GetStringLength());
    if (name == kTime)
      event.time_ms = member.value.IsInt64() ? member.value.GetInt64() : 0;
    else if (name == kInstance)
      event.instance = TextOf(member.value);
    else if (name == kEvent)
      event.event = TextOf(member.value);
    else
      event.fields.emplace(name, TextOf(member.value));
  }
  const std::string submission = event.Field(std::string(kSubmission));
  if (submission == submission_)
    submission_events_.push_back(std::move(event));
  else if (submission.empty())
    context_events_.push_back(std::move(event));
}

submission_history history_reader::Finish() {
  std::ranges::stable_sort(submission_events_, {}, &history_event::time_ms);
  submission_history history;
  history.submission = submission_;
  history.outcome = OutcomeOf(submission_events_);
  ExplainAnswer(submission_events_, history.causes);
  ExplainFailure(submission_events_, history.causes);
  ExplainRuns(submission_events_, history.causes);
  ExplainDelay(submission_events_, history.causes);
  ExplainContext(submission_events_, context_events_, history);
  ExplainRemainder(submission_events_, history.causes);
  if (submission_events_.empty())
    history.gaps.push_back(
        "no given log contains the submission: it reached none of "
        "their instances");
  history.events = std::move(submission_events_);
  return history;
}

std::string ToText(const submission_history& history) {
  std::string text = history.submission + ": " + history.outcome + "\n";
  for (const history_event& event : history.events) {
    text += "  " + std::to_string(event.time_ms) + " " + event.instance + " " +
            event.event;
    for (const auto& [name, value] : event.fields)
      if (name != kSubmission && !value.empty())
        text += " " + name + "=" + value;
    text += "\n";
  }
  for (const std::string& cause : history.causes)
    text += "cause: " + cause + "\n";
  for (const std::string& gap : history.gaps)
    text += "gap: " + gap + "\n";
  return text;
}

std::string ToJson(const submission_history& history) {
  json::writer text;
  text.BeginObject()
      .Field("submission", history.submission)
      .Field("outcome", history.outcome);
  text.Key("events").BeginArray();
  for (const history_event& event : history.events) {
    text.BeginObject()
        .Field("time_ms", event.time_ms)
        .Field("instance", event.instance)
        .Field("event", event.event);
    for (const auto& [name, value] : event.fields)
      text.Field(name, value);
    text.EndObject();
  }
  text.EndArray().Key("causes").BeginArray();
  for (const std::string& cause : history.causes)
    text.String(cause);
  text.EndArray().Key("gaps").BeginArray();
  for (const std::string& gap : history.gaps)
    text.String(gap);
  text.EndArray().EndObject();
  return text.Text();
}

}  // namespace chivecrank::event_log
