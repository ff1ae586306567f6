#ifndef CHIVECRANK_EMULATOR_LASTING_TASK_MONITOR_H_
#define CHIVECRANK_EMULATOR_LASTING_TASK_MONITOR_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/emulator/emulation.h"

namespace chivecrank::emulator {

/// A lasting task that stayed without a run though there was room for it.
struct idle_lasting_task {
  /// As in the log: SUBMISSION.OCCURRENCE.STEP.INDEX.
  std::string task;
  /// When that was certain.
  base::time_point at;
  /// How often the task would have fitted then.
  std::size_t room = 0;
};

/// Checks that lasting tasks run. A task that had a run breaks the promise when
/// it has none for `kPatience` while there is room for it `kRoomNeeded` times.
/// That time begins no earlier than `kCalmBefore` after the last fault and
/// `kRestartTime` after the task's last run.
class lasting_task_monitor {
 public:
  /// Time between two observations.
  static constexpr std::chrono::milliseconds kInterval{200};
  /// Three seconds until all are in touch and four more.
  static constexpr std::chrono::milliseconds kCalmBefore{7000};
  static constexpr std::chrono::milliseconds kRestartTime{6000};
  static constexpr std::chrono::milliseconds kPatience{3000};
  static constexpr std::size_t kRoomNeeded = 2;

  /// `day` must outlive the monitor.
  explicit lasting_task_monitor(emulation& day)
      : day_(day), previous_(day.Now()) {}

  /// Looks at all lasting tasks. `calm_since` is the end of the last fault;
  /// std::nullopt during one.
  void Observe(std::optional<base::time_point> calm_since);

  /// At most once for each time that a task is without a run.
  const std::vector<idle_lasting_task>& Broken() const { return broken_; }

 private:
  struct task_state {
    /// When a run was last seen.
    base::time_point last_run;
    /// Since when a run is missing although one was due and had room.
    std::optional<base::time_point> missing_since;
    bool told = false;
  };

  void ObserveIdle(const submissions::task_ref& task,
                   std::optional<base::time_point> calm_since);
  /// Whether a run is due by now and there is room for it.
  bool IsRunDue(const submissions::task_ref& task,
                const task_state& state,
                std::optional<base::time_point> calm_since) const;

  emulation& day_;
  /// The observation before this one, or the begin.
  base::time_point previous_;
  std::map<submissions::task_ref, task_state> idle_;
  std::vector<idle_lasting_task> broken_;
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_LASTING_TASK_MONITOR_H_
