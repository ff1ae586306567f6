#ifndef CHIVECRANK_CONFIGURATION_FOLLOWER_H_
#define CHIVECRANK_CONFIGURATION_FOLLOWER_H_

#include <atomic>
#include <mutex>
#include <thread>

#include "chivecrank/base/clock.h"
#include "chivecrank/configuration/view.h"
#include "chivecrank/platform/store.h"

namespace chivecrank::configuration {

/// How a follower waits between its calls.
struct follower_settings {
  /// How long one watch may wait in the store.
  std::chrono::milliseconds watch_wait{2000};
  /// Pause after a failed call.
  std::chrono::milliseconds retry_pause{250};
};

/// Keeps the newest accepted configuration in force by watching its head.
class follower final : public view {
 public:
  follower(platform::store& store,
           base::clock& clock,
           follower_settings settings);
  ~follower() override;
  follower(const follower&) = delete;
  follower& operator=(const follower&) = delete;

  void Start();
  void Stop();

  shared_snapshot Current() const override;

  /// Reads the head once and puts it in force if it is newer.
  base::result<void> Refresh();

 private:
  void Run();
  void Offer(snapshot candidate);

  platform::store& store_;
  base::clock& clock_;
  follower_settings settings_;
  mutable std::mutex mutex_;
  shared_snapshot current_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_FOLLOWER_H_
