#include "internal/drain_tracker.h"

#include <algorithm>
#include <utility>

namespace chivecrank::submissions::internal {
namespace {

/// Share of the time allowed for a drain to take effect that may pass before
/// starts stop for want of recent knowledge. The rest is for commands on their
/// way.
constexpr double kKnowledgeShare = 0.6;

void CountRun(domain_drain& drain, const active_run& run) {
  if (run.best_effort)
    ++drain.best_effort;
  else if (run.long_running)
    ++drain.long_running;
  else
    ++drain.ending;
}

}  // namespace

void drain_tracker::Set(const std::set<std::string>& domains,
                        base::time_point now) {
  std::erase_if(drains_, [&](const auto& entry) {
    return !domains.contains(entry.first);
  });
  for (const std::string& domain : domains)
    drains_.try_emplace(domain,
                        domain_drain{.failure_domain = domain, .since = now});
  MarkWorkers();
  MarkEmpty(now);
}

void drain_tracker::Confirm(base::time_point as_of) {
  known_at_ = known_at_ ? std::max(*known_at_, as_of) : as_of;
}

void drain_tracker::MarkWorkers() {
  for (auto& [id, worker] : workers_.All())
    worker.domain_drained = drains_.contains(worker.description.failure_domain);
}

bool drain_tracker::IsCurrent(base::time_point now) const {
  if (settings_.drain_within.count() == 0)
    return true;
  return known_at_ &&
         now - *known_at_ <= settings_.drain_within * kKnowledgeShare;
}

void drain_tracker::BeginRound(base::time_point now) {
  if (drains_.empty()) {
    allowance_at_.reset();
    return;
  }
  MarkEmpty(now);
  MeasureRoom();
  AddAllowance(now);
}

void drain_tracker::MarkEmpty(base::time_point now) {
  for (auto& [domain, drain] : drains_) {
    if (!IsEmpty(domain))
      drain.empty_since.reset();
    else if (!drain.empty_since)
      drain.empty_since = now;
  }
}

bool drain_tracker::IsEmpty(const std::string& domain) const {
  return std::ranges::none_of(workers_.All(), [&](const auto& entry) {
    const worker_entry& worker = entry.second;
    return !worker.runs.empty() && worker.description.failure_domain == domain;
  });
}

void drain_tracker::MeasureRoom() {
  usable_milli_ = 0;
  unreserved_milli_ = 0;
  for (const auto& [id, worker] : workers_.All()) {
    if (!worker.IsOpen())
      continue;
    const std::int64_t capacity = worker.description.capacity.processors_milli;
    usable_milli_ += capacity;
    unreserved_milli_ +=
        std::max<std::int64_t>(0, capacity - worker.reserved.processors_milli);
  }
}

void drain_tracker::AddAllowance(base::time_point now) {
  const double per_second = settings_.drain_moves_per_second;
  if (allowance_at_)
    allowance_ += per_second *
                  std::chrono::duration<double>(now - *allowance_at_).count();
  allowance_ = std::min(allowance_, per_second);
  allowance_at_ = now;
}

bool drain_tracker::MayMove(std::int64_t demand_milli) const {
  const double kept =
      settings_.drain_free_share * static_cast<double>(usable_milli_);
  return allowance_ >= 1 &&
         static_cast<double>(unreserved_milli_ - demand_milli) >= kept;
}

void drain_tracker::OnMoved(const worker_entry& from,
                            std::int64_t demand_milli) {
  --allowance_;
  unreserved_milli_ -= demand_milli;
  const auto found = drains_.find(from.description.failure_domain);
  if (found != drains_.end())
    ++found->second.moved;
}

std::vector<domain_drain> drain_tracker::All() const {
  std::map<std::string, domain_drain> counted = drains_;
  for (const auto& [id, worker] : workers_.All()) {
    if (!worker.domain_drained)
      continue;
    domain_drain& drain = counted.at(worker.description.failure_domain);
    ++drain.workers;
    for (const auto& [task, run] : worker.runs)
      CountRun(drain, run);
  }
  std::vector<domain_drain> all;
  all.reserve(counted.size());
  for (auto& [domain, drain] : counted)
    all.push_back(std::move(drain));
  return all;
}

}  // namespace chivecrank::submissions::internal
