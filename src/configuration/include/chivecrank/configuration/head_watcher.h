#ifndef CHIVECRANK_CONFIGURATION_HEAD_WATCHER_H_
#define CHIVECRANK_CONFIGURATION_HEAD_WATCHER_H_

#include <atomic>
#include <functional>
#include <random>
#include <thread>

#include "chivecrank/base/clock.h"
#include "chivecrank/configuration/local_configuration.h"
#include "chivecrank/coordination/store.h"

namespace chivecrank::configuration {

struct head_watcher_settings {
  /// How long a watch may wait in the store.
  std::chrono::milliseconds watch_timeout{5000};
  /// Initial and maximum delay after failed calls. The delay doubles with each
  /// failure.
  std::chrono::milliseconds initial_retry_delay{250};
  std::chrono::milliseconds max_retry_delay{4000};
  /// How often a process that does not watch the head checks whether it should.
  std::chrono::milliseconds poll_interval{100};
  /// A process that has received no confirmation for this long reads the head
  /// itself. A random time of up to the same length is added.
  std::chrono::milliseconds confirmation_timeout{20'000};
  std::uint64_t seed = 1;
};

/// Keeps the local configuration up to date with the head, the newest accepted
/// configuration in the store. Reads the head at startup, and watches it only
/// while this process is one of the few watchers of the fleet.
class head_watcher {
 public:
  struct hooks {
    /// Returns whether this process is one of the watchers.
    std::function<bool()> should_watch;
    /// Asks some peers for newer revisions. Called once, before the local
    /// configuration is activated, because a read from the store may be stale.
    std::function<void()> ask_peers;
    /// Notifies the peers of a newer revision read from the store.
    std::function<void()> on_newer_revision;
  };

  head_watcher(coordination::store& store,
               base::clock& clock,
               local_configuration& local,
               head_watcher_settings settings,
               hooks callbacks);
  ~head_watcher();
  head_watcher(const head_watcher&) = delete;
  head_watcher& operator=(const head_watcher&) = delete;

  void Start();
  void Stop();

  /// Reads the head and applies it to the local configuration.
  base::result<void> Refresh();
  /// One iteration of the watcher thread.
  void RunOnce();

 private:
  void Run();
  void Initialize();
  void Watch();
  /// Applies a change of the head returned by a watch.
  void ApplyChange(const coordination::store_change& change,
                   base::time_point sent_at);
  void SleepBeforeRetry();
  bool ConfirmationOverdue();
  void DrawConfirmationTimeout();

  coordination::store& store_;
  base::clock& clock_;
  local_configuration& local_;
  const head_watcher_settings settings_;
  const hooks hooks_;
  std::mt19937_64 random_;
  bool initialized_ = false;
  /// Store revision up to which changes were received; 0 makes the next watch
  /// start with a read of the head.
  coordination::revision watched_revision_ = 0;
  std::chrono::milliseconds retry_delay_;
  std::chrono::milliseconds confirmation_timeout_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_HEAD_WATCHER_H_
