#ifndef CHIVECRANK_SCHEDULING_WORKER_HEALTH_H_
#define CHIVECRANK_SCHEDULING_WORKER_HEALTH_H_

#include <map>
#include <set>
#include <string>

#include "chivecrank/base/clock.h"

namespace chivecrank::scheduling {

/// When a worker is held to be bad and how it is tried again.
struct health_settings {
  /// Distinct tasks that crash without a success between them.
  std::size_t crashes_to_quarantine = 3;
  std::chrono::seconds first_quarantine{60};
  std::chrono::seconds longest_quarantine{1800};
  /// A template that crashes more often than this on other workers says
  /// nothing about a worker.
  double bad_template_ratio = 0.5;
};

/// Tells bad workers from bad jobs.
class worker_health {
 public:
  explicit worker_health(health_settings settings);

  void ObserveDone(const std::string& worker_id,
                   const std::string& template_name);
  void ObserveCrash(const std::string& worker_id,
                    const std::string& template_name,
                    const std::string& task_id,
                    base::wall_time now);

  /// Whether the worker takes no work now.
  bool IsQuarantined(const std::string& worker_id, base::wall_time now) const;

  /// Whether the worker is to be tried with a single task only.
  bool IsOnProbation(const std::string& worker_id, base::wall_time now) const;

  /// Whether a crash on this worker says something about the job.
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
    /// Decaying share of attempts that crashed, without quarantined workers.
    double crash_ratio = 0;
    int attempts = 0;
  };

  void Quarantine(worker_record& bad, base::wall_time now) const;
  void CountTemplate(const std::string& template_name, bool crashed);

  const health_settings settings_;
  std::map<std::string, worker_record> workers_;
  std::map<std::string, template_record> templates_;
};

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_WORKER_HEALTH_H_
