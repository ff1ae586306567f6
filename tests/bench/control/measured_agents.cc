#include "measured_agents.h"

#include "chivecrank/http/json.h"
#include "chivecrank/workers/agent_codec.h"

namespace chivecrank::bench {
namespace {

/// Request line and headers of a sync, and those of its answer.
constexpr std::uint64_t kHeaderBytes = 131 + 132;

}  // namespace

measured_agents::measured_agents(base::clock& clock,
                                 cpu_meter& meter,
                                 std::uint64_t seed)
    : clock_(clock), meter_(meter), random_(seed) {}

base::result<workers::sync_report> measured_agents::Sync(
    const settings::endpoint& worker,
    const workers::sync_command& command) {
  const std::string sent = http::ToText(workers::EncodeSync(command));
  std::string answer;
  {
    const cpu_meter::pause outside(meter_);
    answer = http::ToText(
        workers::EncodeReport(Serve(settings::ToString(worker), command)));
    ++calls_;
    bytes_ += sent.size() + answer.size() + kHeaderBytes;
  }
  BOOST_OUTCOME_TRY(parsed, http::ParseObject(answer));
  return workers::DecodeReport(parsed);
}

workers::sync_report measured_agents::Serve(
    const std::string& name,
    const workers::sync_command& command) {
  worker_state& at = workers_[name];
  const auto verdict =
      at.fence.OnSync(command.order, clock_.Now(), command.term);
  for (const workers::attempt_id& ended : command.acknowledged)
    at.known.erase(ended);
  if (verdict == protocol::sync_outcome::kRenewed) {
    for (const workers::start_command& start : command.starts) {
      at.known[start.attempt] = {
          {start.attempt, workers::attempt_state::kRunning, {}}, ++at.position};
      running_.emplace_back(name, start.attempt);
      ++starts_;
    }
  }
  const bool same_run = command.order.incarnation == at.fence.incarnation();
  const std::uint64_t known = same_run ? command.position : 0;
  workers::sync_report report{
      at.fence.incarnation(), known == 0, at.position, {}};
  for (const auto& [attempt, entry] : at.known) {
    if (entry.changed > known)
      report.attempts.push_back(entry.report);
  }
  return report;
}

bool measured_agents::EndOne() {
  if (running_.empty())
    return false;
  const std::size_t chosen = random_() % running_.size();
  std::swap(running_[chosen], running_.back());
  const auto [name, attempt] = running_.back();
  running_.pop_back();
  worker_state& at = workers_[name];
  known_attempt& entry = at.known[attempt];
  entry.report.state = workers::attempt_state::kDone;
  entry.changed = ++at.position;
  return true;
}

}  // namespace chivecrank::bench
