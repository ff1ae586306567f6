#include "harness/caller.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "chivecrank/http/json.h"

namespace chivecrank::harness {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kControlTimeout{8000};
constexpr std::chrono::milliseconds kPause{50};
/// Time that an answer may travel beyond the deadline stated to the entry.
constexpr std::chrono::milliseconds kTravel{200};

std::chrono::milliseconds Since(clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() -
                                                               start);
}

callers::request_outcome OutcomeOf(const http::response& answer) {
  const std::string_view name = answer.Header(callers::kOutcomeHeader);
  for (const auto outcome : {callers::request_outcome::kCompleted,
                             callers::request_outcome::kNotRun}) {
    if (callers::RequestOutcomeName(outcome) == name)
      return outcome;
  }
  return callers::request_outcome::kUnknown;
}

}  // namespace

caller::caller(std::vector<settings::endpoint> entries,
               caller_options options,
               std::uint64_t seed,
               entry_filter takes_requests)
    : options_(std::move(options)),
      addresses_(std::move(entries)),
      takes_requests_(std::move(takes_requests)),
      random_(seed) {
  for (const settings::endpoint& entry : addresses_)
    entries_.push_back(std::make_unique<http::client>(entry));
}

call_record caller::SendCallout(const std::string& key) {
  call_record record;
  record.identifier = options_.account + "/" + key;
  const clock::time_point start = clock::now();
  bool first_send = true;
  while (Since(start) < options_.timeout) {
    const auto left = options_.timeout - Since(start);
    const bool repeats = options_.repeat_after.count() > 0;
    call_try& sent = record.tries.emplace_back();
    sent.sent_after = Since(start);
    SendOnce(key, repeats ? std::min(left, options_.repeat_after) : left,
             first_send, record);
    sent.took = Since(start) - sent.sent_after;
    sent.entry = record.entry;
    sent.outcome = record.outcome;
    const bool not_run = record.outcome == callers::request_outcome::kNotRun;
    const bool unknown = record.outcome == callers::request_outcome::kUnknown;
    if (!not_run && !(unknown && repeats))
      break;
    // "Not run" also holds for what was sent before.
    first_send = not_run;
    std::this_thread::sleep_for(kPause);
  }
  record.latency = Since(start);
  record.ended_at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  record.late = record.latency > options_.timeout + kTravel;
  return record;
}

void caller::SendOnce(const std::string& key,
                      std::chrono::milliseconds limit,
                      bool first_send,
                      call_record& record) {
  const std::string body = "callout " + key;
  const http::request message{
      "POST",
      "/v1/services/" + options_.service + "/callouts",
      {{"Authorization", "Bearer " + options_.token},
       {callers::kKeyHeader, key},
       {callers::kIdempotentHeader, "false"},
       {callers::kFirstSendHeader, first_send ? "true" : "false"},
       {callers::kTimeoutHeader, std::to_string(limit.count())}},
      body};
  const std::size_t chosen = ChooseEntry();
  record.entry = addresses_[chosen];
  const auto answer = entries_[chosen]->Call(message, limit + kTravel);
  record.cut_off = !answer.has_value() &&
                   answer.error().kind == base::error_kind::kOutcomeUnknown;
  record.tries.back().answer =
      answer.has_value() ? answer.value().body : answer.error().message;
  if (answer.has_value()) {
    record.outcome = OutcomeOf(answer.value());
    record.wrong_answer =
        record.outcome == callers::request_outcome::kCompleted &&
        answer.value().body != "answer to " + body;
    return;
  }
  // A repeat that was not sent leaves open what became of the key.
  const bool unsent =
      first_send && answer.error().kind == base::error_kind::kUnavailable;
  record.outcome = unsent ? callers::request_outcome::kNotRun
                          : callers::request_outcome::kUnknown;
}

std::string caller::SubmitJob(const std::string& template_name,
                              const std::string& key) {
  http::json_object body = new Poco::JSON::Object;
  body->set("template", template_name);
  const auto answer =
      CallAnyEntry({"POST",
                    "/v1/jobs",
                    {{"Authorization", "Bearer " + options_.token},
                     {callers::kKeyHeader, key}},
                    http::ToText(body)},
                   kControlTimeout);
  if (!answer.has_value() ||
      answer.value().code != static_cast<int>(http::status::kOk)) {
    return "";
  }
  const auto parsed = http::ParseObject(answer.value().body);
  return parsed.has_value() ? http::StringOf(parsed.value(), "job") : "";
}

bool caller::CancelJob(const std::string& job_id) {
  const auto answer =
      CallAnyEntry({"DELETE",
                    "/v1/jobs/" + job_id,
                    {{"Authorization", "Bearer " + options_.token}},
                    ""},
                   kControlTimeout);
  return answer.has_value() &&
         answer.value().code == static_cast<int>(http::status::kOk);
}

std::string caller::JobState(const std::string& job_id) {
  const auto answer =
      CallAnyEntry({"GET",
                    "/v1/jobs/" + job_id,
                    {{"Authorization", "Bearer " + options_.token}},
                    ""},
                   kControlTimeout);
  if (!answer.has_value())
    return "";
  const auto parsed = http::ParseObject(answer.value().body);
  return parsed.has_value() ? http::StringOf(parsed.value(), "state") : "";
}

std::size_t caller::ChooseEntry() {
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    if (!takes_requests_ || takes_requests_(addresses_[i]))
      open.push_back(i);
  }
  std::lock_guard lock(mutex_);
  if (open.empty())
    open.push_back(0);
  std::uniform_int_distribution<std::size_t> any(0, open.size() - 1);
  return open[any(random_)];
}

base::result<http::response> caller::CallAnyEntry(
    const http::request& message,
    std::chrono::milliseconds timeout) {
  return entries_[ChooseEntry()]->Call(message, timeout);
}

}  // namespace chivecrank::harness
