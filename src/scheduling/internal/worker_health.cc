#include "chivecrank/scheduling/worker_health.h"

#include <algorithm>

namespace chivecrank::scheduling {
namespace {

/// Weight of the newest attempt in a template's share of crashes.
constexpr double kAttemptWeight = 0.05;
/// Attempts before a template's share of crashes counts.
constexpr int kEnoughAttempts = 8;

}  // namespace

worker_health::worker_health(health_settings settings) : settings_(settings) {}

void worker_health::ObserveDone(const std::string& worker_id,
                                const std::string& template_name) {
  CountTemplate(template_name, false);
  workers_.erase(worker_id);
}

void worker_health::ObserveCrash(const std::string& worker_id,
                                 const std::string& template_name,
                                 const std::string& task_id,
                                 base::wall_time now) {
  worker_record& known = workers_[worker_id];
  if (known.quarantined) {
    Quarantine(known, now);
    return;
  }
  CountTemplate(template_name, true);
  const template_record& judged = templates_[template_name];
  if (judged.attempts >= kEnoughAttempts &&
      judged.crash_ratio > settings_.bad_template_ratio) {
    return;
  }
  known.crashed.insert(task_id);
  if (known.crashed.size() >= settings_.crashes_to_quarantine)
    Quarantine(known, now);
}

bool worker_health::IsQuarantined(const std::string& worker_id,
                                  base::wall_time now) const {
  const auto found = workers_.find(worker_id);
  return found != workers_.end() && found->second.quarantined &&
         now < found->second.until;
}

bool worker_health::IsOnProbation(const std::string& worker_id,
                                  base::wall_time now) const {
  const auto found = workers_.find(worker_id);
  return found != workers_.end() && found->second.quarantined &&
         now >= found->second.until;
}

bool worker_health::IsTrusted(const std::string& worker_id) const {
  const auto found = workers_.find(worker_id);
  return found == workers_.end() || !found->second.quarantined;
}

void worker_health::Quarantine(worker_record& bad, base::wall_time now) const {
  const bool still_serving = bad.quarantined && now < bad.until;
  if (still_serving)
    return;
  bad.term = bad.quarantined
                 ? std::min(bad.term * 2, settings_.longest_quarantine)
                 : settings_.first_quarantine;
  bad.quarantined = true;
  bad.until = now + bad.term;
}

void worker_health::CountTemplate(const std::string& template_name,
                                  bool crashed) {
  template_record& known = templates_[template_name];
  ++known.attempts;
  const double weight = std::max(kAttemptWeight, 1.0 / known.attempts);
  known.crash_ratio += weight * ((crashed ? 1.0 : 0.0) - known.crash_ratio);
}

}  // namespace chivecrank::scheduling
