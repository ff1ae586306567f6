#ifndef CHIVECRANK_CONFIGURATION_HEAD_WATCHER_H_
#define CHIVECRANK_CONFIGURATION_HEAD_WATCHER_H_

#include <atomic>
#include <functional>
#include <random>
#include <thread>

#include "chivecrank/base/clock.h"
#include "chivecrank/configuration/held_configuration.h"
#include "chivecrank/coordination/store.h"

namespace chivecrank::configuration {

/// How the head in the store is watched.
struct head_watcher_settings {
  /// How long one watch may wait in the store.
  std::chrono::milliseconds watch_wait{5000};
  /// First and longest pause after failed calls; the pause doubles between.
  std::chrono::milliseconds retry_pause{250};
  std::chrono::milliseconds longest_pause{4000};
  /// How often a process that does not watch looks whether it should.
  std::chrono::milliseconds poll{100};
  /// A process that heard of no confirmation for this long reads the head
  /// itself; up to the same again is added at random.
  std::chrono::milliseconds patience{20'000};
  std::uint64_t seed = 1;
};

/// Reads the head once when the process starts, and then watches it only as
/// long as this process is one of the few watchers of the fleet.
class head_watcher {
 public:
  struct hooks {
    /// Whether this process is one of the watchers.
    std::function<bool()> should_watch;
    /// Asks some peers for newer revisions; called once before Admit, as a
    /// read of the store may be stale.
    std::function<void()> ask_peers;
    /// Tells the peers of a revision that came from the store.
    std::function<void()> on_newer;
  };

  head_watcher(coordination::store& store,
               base::clock& clock,
               held_configuration& held,
               head_watcher_settings settings,
               hooks surroundings);
  ~head_watcher();
  head_watcher(const head_watcher&) = delete;
  head_watcher& operator=(const head_watcher&) = delete;

  void Start();
  void Stop();

  /// Reads the head once and offers it.
  base::result<void> Refresh();
  /// One pass of the thread that Start begins.
  void RunOnce();

 private:
  void Run();
  void StartUp();
  void Watch();
  /// Takes over the head that a watch told.
  void TakeChange(const coordination::store_change& change,
                  base::time_point asked);
  void PauseAfterFailure();
  bool Impatient();
  void DrawPatience();

  coordination::store& store_;
  base::clock& clock_;
  held_configuration& held_;
  const head_watcher_settings settings_;
  const hooks surroundings_;
  std::mt19937_64 random_;
  bool started_up_ = false;
  /// Last store revision that a watch told; 0 to begin anew.
  coordination::revision seen_ = 0;
  std::chrono::milliseconds pause_;
  std::chrono::milliseconds patience_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_HEAD_WATCHER_H_
