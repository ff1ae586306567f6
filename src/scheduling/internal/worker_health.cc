#include "chivecrank/scheduling/worker_health.h"

#include <algorithm>

namespace chivecrank::scheduling {
namespace {

/// Minimum weight of the newest attempt in a template's crash ratio.
constexpr double kAttemptWeight = 0.05;
/// Attempts before a template's crash ratio is used.
constexpr int kMinAttempts = 8;

}  // namespace

worker_health::worker_health(health_settings settings) : settings_(settings) {}

void worker_health::ObserveDone(const std::string& worker_id,
                                const std::string& template_name) {
  UpdateCrashRatio(template_name, false);
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
  UpdateCrashRatio(template_name, true);
  const template_record& judged = templates_[template_name];
  if (judged.attempts >= kMinAttempts &&
      judged.crash_ratio > settings_.faulty_template_crash_ratio) {
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

void worker_health::Quarantine(worker_record& faulty,
                               base::wall_time now) const {
  const bool in_quarantine = faulty.quarantined && now < faulty.until;
  if (in_quarantine)
    return;
  faulty.term = faulty.quarantined
                    ? std::min(faulty.term * 2, settings_.max_quarantine)
                    : settings_.initial_quarantine;
  faulty.quarantined = true;
  faulty.until = now + faulty.term;
}

void worker_health::UpdateCrashRatio(const std::string& template_name,
                                     bool crashed) {
  template_record& known = templates_[template_name];
  ++known.attempts;
  const double weight = std::max(kAttemptWeight, 1.0 / known.attempts);
  known.crash_ratio += weight * ((crashed ? 1.0 : 0.0) - known.crash_ratio);
}

}  // namespace chivecrank::scheduling
