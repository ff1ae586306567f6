#ifndef CHIVECRANK_APPS_CHIVECRANK_ENTRY_UPSTREAM_PROBER_H_
#define CHIVECRANK_APPS_CHIVECRANK_ENTRY_UPSTREAM_PROBER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

#include "chivecrank/base/clock.h"
#include "chivecrank/entries/slot_pool.h"

namespace chivecrank {

/// Asks upstreams that hold slots back whether they answer, and shows the
/// pool's totals.
class upstream_prober {
 public:
  /// Sends a probe; whether the upstream answered.
  using probe = std::function<bool(const coordination::instance&)>;
  using observer = std::function<void(const entries::pool_totals&)>;

  upstream_prober(base::clock& clock,
                  entries::slot_pool& pool,
                  probe send,
                  observer show);
  ~upstream_prober();
  upstream_prober(const upstream_prober&) = delete;
  upstream_prober& operator=(const upstream_prober&) = delete;

  void Start();
  void Stop();

 private:
  void Run();

  base::clock& clock_;
  entries::slot_pool& pool_;
  const probe send_;
  const observer show_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank

#endif  // CHIVECRANK_APPS_CHIVECRANK_ENTRY_UPSTREAM_PROBER_H_
