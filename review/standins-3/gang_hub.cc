#include "gang_hub.h"

#include <algorithm>
#include <cstdlib>

#include "record.h"

namespace review {
namespace {

/// A member that wasn't heard of for so long is away.
constexpr std::int64_t kSilenceMs = 250;
constexpr int kHubTimeoutMs = 500;

std::string Field(const http::request& asked, const std::string& name) {
  const auto found = asked.query.find(name);
  return found == asked.query.end() ? "" : found->second;
}

}  // namespace

bool gang_hub::Listen(std::uint16_t port) {
  return http::Serve(
      port, [this](const http::request& asked) { return Handle(asked); });
}

http::response gang_hub::Handle(const http::request& asked) {
  const std::lock_guard lock(mutex_);
  gang& found = gangs_[Field(asked, "gang")];
  const std::int64_t now = record::SteadyMs();
  member& reporting = found.members[Field(asked, "task")];
  reporting = {now, Field(asked, "value")};
  const auto size = static_cast<std::size_t>(
      std::strtoul(Field(asked, "size").c_str(), nullptr, 10));
  const auto present =
      std::ranges::count_if(found.members, [&](const auto& entry) {
        return now - entry.second.seen_at_ms <= kSilenceMs;
      });
  const bool same = std::ranges::all_of(found.members, [&](const auto& entry) {
    return entry.second.value == reporting.value;
  });
  const bool complete =
      static_cast<std::size_t>(present) == size && (same || found.was_complete);
  found.done = found.done || Field(asked, "done") == "1";
  found.was_complete = found.was_complete || complete;
  gang_state state = gang_state::kWaiting;
  if (found.done)
    state = gang_state::kDone;
  else if (complete)
    state = gang_state::kWorking;
  else if (found.was_complete)
    state = gang_state::kBroken;
  return {200, std::to_string(static_cast<int>(state))};
}

gang_state ReportMember(std::uint16_t hub_port,
                        const std::string& gang,
                        const std::string& task,
                        const std::string& value,
                        std::size_t size,
                        bool done) {
  const auto answer = http::Call(
      {hub_port,
       "GET",
       "/?gang=" + gang + "&task=" + task + "&value=" + value +
           "&size=" + std::to_string(size) + "&done=" + (done ? "1" : "0"),
       {},
       "",
       kHubTimeoutMs});
  return answer ? static_cast<gang_state>(std::atoi(answer->body.c_str()))
                : gang_state::kWaiting;
}

}  // namespace review
