#include "chivecrank/event_log/story.h"

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

/// From this wait before the first run on, waiting is named as a cause.
constexpr std::int64_t kLongWaitMs = 1000;
/// A task that starts this long after the first of its step waited for room.
constexpr std::int64_t kWaitForRoomMs = 200;
/// A run of this length is named.
constexpr std::int64_t kLongRunMs = 4000;
/// Events without a submission count when they happened while it was open, or
/// so long before it began.
constexpr std::int64_t kBeforeMs = 3000;

std::string TextOf(const json::value& value) {
  if (value.IsString())
    return {value.GetString(), value.GetStringLength()};
  if (value.IsInt64())
    return std::to_string(value.GetInt64());
  if (value.IsBool())
    return value.GetBool() ? "true" : "false";
  return {};
}

std::string TaskOf(const story_event& event) {
  return event.Field("occurrence") + "." + event.Field("step") + "." +
         event.Field("task");
}

const story_event* Last(const std::vector<story_event>& events,
                        std::string_view name) {
  const auto found = std::find_if(
      events.rbegin(), events.rend(),
      [&](const story_event& event) { return event.event == name; });
  return found == events.rend() ? nullptr : &*found;
}

const story_event* First(const std::vector<story_event>& events,
                         std::string_view name) {
  const auto found = std::ranges::find(events, name, &story_event::event);
  return found == events.end() ? nullptr : &*found;
}

std::size_t Count(const std::vector<story_event>& events,
                  std::string_view name,
                  const std::string& outcome = {}) {
  return static_cast<std::size_t>(
      std::ranges::count_if(events, [&](const story_event& event) {
        return event.event == name &&
               (outcome.empty() || event.Field("outcome") == outcome);
      }));
}

std::string OutcomeOf(const std::vector<story_event>& events) {
  if (const story_event* ended = Last(events, "submission_ended"))
    return ended->Field("outcome");
  if (First(events, "submission_accepted") != nullptr)
    return First(events, "task_assigned") != nullptr ? "running" : "waiting";
  if (First(events, "submission_in_doubt") != nullptr)
    return "in doubt";
  if (First(events, "submission_rejected") != nullptr)
    return "rejected";
  return "not seen";
}

void ExplainAnswer(const std::vector<story_event>& events,
                   std::vector<std::string>& causes) {
  for (const story_event& event : events) {
    if (event.event == "submission_rejected")
      causes.push_back("rejected by " + event.instance + ": " +
                       event.Field("reason"));
    if (event.event == "submission_in_doubt")
      causes.push_back("the store did not answer " + event.instance +
                       " in time");
  }
}

void ExplainFailure(const std::vector<story_event>& events,
                    std::vector<std::string>& causes) {
  std::map<std::string, std::set<std::string>> workers_of;
  for (const story_event& event : events)
    if (event.event == "run_ended" && event.Field("outcome") == "failed")
      workers_of[TaskOf(event)].insert(event.Field("worker"));
  for (const auto& [task, workers] : workers_of) {
    std::string cause = "task " + task + " failed on";
    for (const std::string& worker : workers)
      cause += " " + worker;
    if (workers.size() > 1)
      cause += " (distinct workers: the task itself is to blame)";
    causes.push_back(std::move(cause));
  }
}

/// Runs that took long, from their assignment to their end.
void ExplainRuns(const std::vector<story_event>& events,
                 std::vector<std::string>& causes) {
  std::map<std::string, std::int64_t> assigned_at;
  for (const story_event& event : events) {
    const std::string run = TaskOf(event) + " run " + event.Field("run");
    if (event.event == "task_assigned")
      assigned_at[run] = event.time_ms;
    const bool over = event.event == "run_ended" || event.event == "run_lost";
    const auto begun = assigned_at.find(run);
    if (!over || begun == assigned_at.end() ||
        event.time_ms - begun->second < kLongRunMs)
      continue;
    causes.push_back("task " + run + " took " +
                     std::to_string(event.time_ms - begun->second) + " ms on " +
                     event.Field("worker") + " and ended as " +
                     event.Field("outcome"));
  }
}

/// The tasks of a step can all start at once when there is room.
void ExplainWaitsForRoom(const std::vector<story_event>& events,
                         std::vector<std::string>& causes) {
  struct first_runs {
    std::int64_t first_ms = 0;
    std::int64_t last_ms = 0;
  };
  std::map<std::pair<std::int64_t, std::int64_t>, first_runs> steps;
  for (const story_event& event : events) {
    if (event.event != "task_assigned" || event.Number("run") != 1)
      continue;
    const auto [found, is_new] =
        steps.try_emplace({event.Number("occurrence"), event.Number("step")},
                          first_runs{event.time_ms, event.time_ms});
    found->second.last_ms = event.time_ms;
  }
  for (const auto& [step, runs] : steps)
    if (runs.last_ms - runs.first_ms >= kWaitForRoomMs)
      causes.push_back(
          "tasks of step " + std::to_string(step.second) + " waited up to " +
          std::to_string(runs.last_ms - runs.first_ms) + " ms for room");
}

/// What is left when nothing went wrong that the logs know of.
void ExplainRest(const std::vector<story_event>& events,
                 std::vector<std::string>& causes) {
  const story_event* accepted = First(events, "submission_accepted");
  const story_event* ended = First(events, "submission_ended");
  if (!causes.empty() || accepted == nullptr || ended == nullptr)
    return;
  causes.push_back("took " +
                   std::to_string(ended->time_ms - accepted->time_ms) +
                   " ms from acceptance to end, the tasks' own time; any more "
                   "was before its acceptance");
}

void ExplainDelay(const std::vector<story_event>& events,
                  std::vector<std::string>& causes) {
  const story_event* accepted = First(events, "submission_accepted");
  const story_event* assigned = First(events, "task_assigned");
  if (accepted != nullptr && assigned != nullptr &&
      assigned->time_ms - accepted->time_ms >= kLongWaitMs)
    causes.push_back("waited " +
                     std::to_string(assigned->time_ms - accepted->time_ms) +
                     " ms for its first run");
  ExplainWaitsForRoom(events, causes);
  const std::pair<std::string_view, std::string_view> counted[] = {
      {"run_lost", "runs were lost with their worker or its lease"},
      {"start_refused", "orders to start were refused or unanswered"},
      {"fills_throttled", "changes of speed beside a service near its bound"},
      {"fill_moved", "runs were moved away from a service"},
      {"stalled_moved", "runs stood still on a worker and were moved"},
      {"task_evacuated", "runs were moved off a worker that leaves"},
  };
  for (const auto& [event, text] : counted)
    if (const std::size_t times = Count(events, event))
      causes.push_back(std::to_string(times) + " " + std::string(text));
  if (const std::size_t failed = Count(events, "run_ended", "failed"))
    causes.push_back(std::to_string(failed) + " runs failed");
}

bool IsTelling(const story_event& event) {
  static const std::set<std::string_view> telling = {
      "shard_lost",     "shard_won",  "store_lost",
      "store_regained", "lease_lost", "commit_failed"};
  return telling.contains(event.event);
}

/// Dependencies that were lost while the submission was open.
void ExplainSurroundings(const std::vector<story_event>& events,
                         const std::vector<story_event>& ambient,
                         story& told) {
  if (events.empty())
    return;
  const std::int64_t from = events.front().time_ms - kBeforeMs;
  const std::int64_t to = events.back().time_ms;
  std::map<std::string, std::size_t> seen;
  for (const story_event& event : ambient) {
    if (event.time_ms < from || event.time_ms > to)
      continue;
    if (event.event == "lines_left_out")
      told.gaps.push_back(event.instance + " left out " + event.Field("count") +
                          " lines of " + event.Field("of"));
    else if (IsTelling(event))
      ++seen[event.event + " on " + event.instance];
  }
  for (const auto& [what, times] : seen)
    told.causes.push_back(
        "meanwhile: " + what +
        (times > 1 ? ", " + std::to_string(times) + " times" : ""));
}

}  // namespace

std::string story_event::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

std::int64_t story_event::Number(const std::string& name) const {
  return base::ParseInteger<std::int64_t>(Field(name)).value_or(0);
}

story_reader::story_reader(std::string submission)
    : submission_(std::move(submission)) {}

void story_reader::Read(std::istream& log) {
  std::string line;
  while (std::getline(log, line))
    Take(line);
}

void story_reader::Take(std::string_view line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string_view::npos)
    return;
  const auto parsed = json::ParseObject(line.substr(begin));
  if (!parsed)
    return;
  story_event event;
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
    own_.push_back(std::move(event));
  else if (submission.empty())
    ambient_.push_back(std::move(event));
}

story story_reader::Finish() {
  std::ranges::stable_sort(own_, {}, &story_event::time_ms);
  story told;
  told.submission = submission_;
  told.outcome = OutcomeOf(own_);
  ExplainAnswer(own_, told.causes);
  ExplainFailure(own_, told.causes);
  ExplainRuns(own_, told.causes);
  ExplainDelay(own_, told.causes);
  ExplainSurroundings(own_, ambient_, told);
  ExplainRest(own_, told.causes);
  if (own_.empty())
    told.gaps.push_back(
        "no log holds the submission: it reached no instance "
        "whose log was given");
  told.events = std::move(own_);
  return told;
}

std::string ToText(const story& told) {
  std::string text = told.submission + ": " + told.outcome + "\n";
  for (const story_event& event : told.events) {
    text += "  " + std::to_string(event.time_ms) + " " + event.instance + " " +
            event.event;
    for (const auto& [name, value] : event.fields)
      if (name != kSubmission && !value.empty())
        text += " " + name + "=" + value;
    text += "\n";
  }
  for (const std::string& cause : told.causes)
    text += "cause: " + cause + "\n";
  for (const std::string& gap : told.gaps)
    text += "gap: " + gap + "\n";
  return text;
}

std::string ToJson(const story& told) {
  json::writer text;
  text.BeginObject()
      .Field("submission", told.submission)
      .Field("outcome", told.outcome);
  text.Key("events").BeginArray();
  for (const story_event& event : told.events) {
    text.BeginObject()
        .Field("time_ms", event.time_ms)
        .Field("instance", event.instance)
        .Field("event", event.event);
    for (const auto& [name, value] : event.fields)
      text.Field(name, value);
    text.EndObject();
  }
  text.EndArray().Key("causes").BeginArray();
  for (const std::string& cause : told.causes)
    text.String(cause);
  text.EndArray().Key("gaps").BeginArray();
  for (const std::string& gap : told.gaps)
    text.String(gap);
  text.EndArray().EndObject();
  return text.Text();
}

}  // namespace chivecrank::event_log
