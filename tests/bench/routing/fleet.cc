#include "fleet.h"

#include <cmath>

namespace chivecrank::bench {

fleet::fleet(event_queue& events, const scenario& from)
    : events_(events), workers_(kWorkers) {
  const auto slow =
      static_cast<std::size_t>(std::lround(from.slow_workers * kWorkers));
  // Spread over the failure domains.
  for (std::size_t i = 0; i < slow; ++i)
    workers_[i * kWorkers / slow].factor = kSlowFactor;
}

bool fleet::Start(int worker, base::duration work, std::function<void()> done) {
  worker_state& at = workers_[static_cast<std::size_t>(worker)];
  if (!at.alive)
    return false;
  job next{std::chrono::duration_cast<base::duration>(work * at.factor),
           std::move(done)};
  if (at.running < kSlots) {
    Run(at, std::move(next));
    return true;
  }
  ++overcommitted_;
  at.waiting.push_back(std::move(next));
  return true;
}

void fleet::Run(worker_state& at, job next) {
  ++at.running;
  events_.After(next.work, [this, &at, done = std::move(next.done)] {
    if (!at.alive)
      return;
    --at.running;
    if (!at.waiting.empty()) {
      job following = std::move(at.waiting.front());
      at.waiting.pop_front();
      Run(at, std::move(following));
    }
    done();
  });
}

void fleet::LoseDomain(int domain) {
  for (int i = 0; i < kWorkers; ++i) {
    if (DomainOf(i) == domain)
      workers_[static_cast<std::size_t>(i)].alive = false;
  }
}

std::vector<coordination::instance> fleet::List() const {
  std::vector<coordination::instance> listed;
  for (int i = 0; i < kWorkers; ++i) {
    if (!workers_[static_cast<std::size_t>(i)].alive)
      continue;
    coordination::instance worker;
    worker.id = std::to_string(i);
    worker.slots = kSlots;
    worker.failure_domain = std::to_string(DomainOf(i));
    listed.push_back(worker);
  }
  return listed;
}

}  // namespace chivecrank::bench
