#ifndef CHIVECRANK_TESTS_BENCH_ROUTING_FLEET_H_
#define CHIVECRANK_TESTS_BENCH_ROUTING_FLEET_H_

#include <deque>
#include <functional>
#include <vector>

#include "chivecrank/coordination/types.h"
#include "event_queue.h"
#include "workload.h"

namespace chivecrank::bench {

/// Workers with slots. What exceeds the slots waits at the worker and counts
/// as overcommitted.
class fleet {
 public:
  fleet(event_queue& events, const scenario& from);

  /// Hands work to a worker. `done` is called when it has run, and never if
  /// the worker dies before. Returns false when the worker is dead.
  bool Start(int worker, base::duration work, std::function<void()> done);

  /// Kills the workers of a failure domain.
  void LoseDomain(int domain);

  /// The list as the platform shows it: the dead are left out.
  std::vector<coordination::instance> List() const;

  static int DomainOf(int worker) { return worker % kFailureDomains; }
  std::int64_t overcommitted() const { return overcommitted_; }

 private:
  struct job {
    base::duration work{};
    std::function<void()> done;
  };
  struct worker_state {
    double factor = 1;
    bool alive = true;
    int running = 0;
    std::deque<job> waiting;
  };

  void Run(worker_state& at, job next);

  event_queue& events_;
  std::vector<worker_state> workers_;
  std::int64_t overcommitted_ = 0;
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_ROUTING_FLEET_H_
