#include <absl/strings/str_format.h>

#include "chivecrank/emulator/day.h"
#include "chivecrank/json/writer.h"

namespace chivecrank::emulator {
namespace {

std::int64_t Signed(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}

/// Milliseconds since the clock's start, as in the log.
std::int64_t SinceStart(base::time_point time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

void WriteQueue(json::writer& out, const caller_counts& counts) {
  out.Field("offered", Signed(counts.offered))
      .Field("accepted", Signed(counts.accepted))
      .Field("rejected", Signed(counts.rejected))
      .Field("unknown", Signed(counts.unknown))
      .Field("completed", Signed(counts.completed))
      .Field("in_objective", Signed(counts.in_objective))
      .Field("late", Signed(counts.completed - counts.in_objective))
      .Field("failed", Signed(counts.failed))
      .Field("cancelled", Signed(counts.cancelled));
}

void WriteWorkers(json::writer& out, const worker_counts& counts) {
  out.Field("starts", Signed(counts.starts))
      .Field("done", Signed(counts.done))
      .Field("failed", Signed(counts.failed))
      .Field("stopped", Signed(counts.stopped))
      .Field("lapsed", Signed(counts.lapsed))
      .Field("lost", Signed(counts.lost))
      .Field("looks", Signed(counts.looks))
      .Field("no_room", Signed(counts.no_room));
}

}  // namespace

std::string ReportAsJson(const day_report& report) {
  json::writer out;
  out.BeginObject().Flag("keeps_promises", report.KeepsPromises());
  out.Key("queues").BeginObject();
  for (const auto& [queue, counts] : report.queues) {
    out.Key(queue).BeginObject();
    WriteQueue(out, counts);
    const auto worst = report.worst_window.find(queue);
    if (worst != report.worst_window.end())
      out.Key("worst_window_in_objective").Number(worst->second);
    out.EndObject();
  }
  out.EndObject().Key("runs").BeginObject();
  WriteWorkers(out, report.workers);
  out.EndObject();
  out.Field("store_calls", Signed(report.store_calls))
      .Field("store_writes", Signed(report.store_writes));
  out.Key("services_over_bound_seconds")
      .Number(report.services_over_bound_seconds);
  out.Key("open").BeginArray();
  for (const std::string& id : report.open)
    out.String(id);
  out.EndArray().Key("broken").BeginArray();
  for (const broken_promise& broken : report.broken)
    out.BeginObject()
        .Field("promise", broken.name)
        .Field("task", broken.task)
        .EndObject();
  out.EndArray().Key("idle_lasting").BeginArray();
  for (const idle_lasting_task& idle : report.idle_lasting)
    out.BeginObject()
        .Field("task", idle.task)
        .Field("at_ms", SinceStart(idle.at))
        .Field("room", Signed(idle.room))
        .EndObject();
  out.EndArray().EndObject();
  return out.Text();
}

std::string ReportAsText(const day_report& report) {
  std::string text;
  for (const auto& [queue, counts] : report.queues) {
    const auto worst = report.worst_window.find(queue);
    text += absl::StrFormat(
        "%s: %d offered, %d accepted, %d rejected, %d in time, %d late, %d "
        "failed, worst window %.2f\n",
        queue, counts.offered, counts.accepted, counts.rejected,
        counts.in_objective, counts.completed - counts.in_objective,
        counts.failed,
        worst == report.worst_window.end() ? 1.0 : worst->second);
  }
  text += absl::StrFormat(
      "%d runs begun, %d done, %d failed, %d stopped, %d lapsed, %d lost; %d "
      "looks, %d store calls, %d of them writes\n",
      report.workers.starts, report.workers.done, report.workers.failed,
      report.workers.stopped, report.workers.lapsed, report.workers.lost,
      report.workers.looks, report.store_calls, report.store_writes);
  for (const std::string& id : report.open)
    text += "accepted and never ended: " + id + "\n";
  for (const broken_promise& broken : report.broken)
    text += broken.name + ": " + broken.task + "\n";
  for (const idle_lasting_task& idle : report.idle_lasting)
    text += absl::StrFormat(
        "lasting and without a run at %d ms, with room for %d: %s\n",
        SinceStart(idle.at), idle.room, idle.task);
  return text;
}

}  // namespace chivecrank::emulator
