#ifndef CHIVECRANK_APPS_CHIVECRANK_ENTRY_UPSTREAM_REFRESHER_H_
#define CHIVECRANK_APPS_CHIVECRANK_ENTRY_UPSTREAM_REFRESHER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/instance_list.h"

namespace chivecrank {

/// Reads the instance list again and again and hands it on.
class upstream_refresher {
 public:
  using consumer =
      std::function<void(const std::vector<coordination::instance>&)>;

  upstream_refresher(base::clock& clock,
                     coordination::instance_list& instances,
                     std::chrono::milliseconds period,
                     consumer consume);
  ~upstream_refresher();
  upstream_refresher(const upstream_refresher&) = delete;
  upstream_refresher& operator=(const upstream_refresher&) = delete;

  void Start();
  void Stop();

  /// Whether the list was read at least once.
  bool HasList() const { return has_list_; }

 private:
  void Run();

  base::clock& clock_;
  coordination::instance_list& instances_;
  const std::chrono::milliseconds period_;
  const consumer consume_;
  std::atomic<bool> has_list_ = false;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank

#endif  // CHIVECRANK_APPS_CHIVECRANK_ENTRY_UPSTREAM_REFRESHER_H_
