#ifndef CHIVECRANK_SCHEDULING_WORKER_HEALTH_H_
#define CHIVECRANK_SCHEDULING_WORKER_HEALTH_H_

#include <map>
#include <set>
#include <string>

#include "chivecrank/base/clock.h"

namespace chivecrank::scheduling {

/// When a worker counts as faulty, and how it is tried again.
struct health_settings {
  /// Number of distinct tasks that crash on a worker without a success between
  /// them, from which the worker is quarantined.
  std::size_t crashes_to_quarantine = 3;
  std::chrono::seconds initial_quarantine{60};
  std::chrono::seconds max_quarantine{1800};
  /// Crashes of a template with a higher crash ratio than this are not counted
  /// against a worker.
  double faulty_template_crash_ratio = 0.5;
};

/// Distinguishes faulty workers from faulty jobs by where attempts crash.
class worker_health {
 public:
  explicit worker_health(health_settings settings);

  void ObserveDone(const std::string& worker_id,
                   const std::string& template_name);
  void ObserveCrash(const std::string& worker_id,
                    const std::string& template_name,
                    const std::string& task_id,
                    base::wall_time now);

  /// Whether no work may be placed on the worker now.
  bool IsQuarantined(const std::string& worker_id, base::wall_time now) const;

  /// Whether the worker's quarantine has ended and it gets only a single task
  /// to try it.
  bool IsOnProbation(const std::string& worker_id, base::wall_time now) const;

  /// Whether a crash on this worker counts against the job: false from its
  /// quarantine until its next success.
  bool IsTrusted(const std::string& worker_id) const;

 private:
  struct worker_record {
    /// Tasks that crashed since the last success.
    std::set<std::string> crashed;
    bool quarantined = false;
    base::wall_time until;
    std::chrono::seconds term{0};
  };
  struct template_record {
    /// Moving average of the share of attempts that crashed, except crashes on
    /// quarantined workers.
    double crash_ratio = 0;
    int attempts = 0;
  };

  void Quarantine(worker_record& faulty, base::wall_time now) const;
  void UpdateCrashRatio(const std::string& template_name, bool crashed);

  const health_settings settings_;
  std::map<std::string, worker_record> workers_;
  std::map<std::string, template_record> templates_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_WORKER_HEALTH_H_
