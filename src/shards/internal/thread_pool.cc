#include "chivecrank/shards/thread_pool.h"

#include <utility>

namespace chivecrank::shards {

thread_pool::thread_pool(std::size_t threads) {
  for (std::size_t i = 0; i < threads; ++i)
    threads_.emplace_back([this] { Run(); });
}

thread_pool::~thread_pool() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  job_available_.notify_all();
  for (std::thread& thread : threads_)
    thread.join();
}

void thread_pool::Post(std::function<void()> job) {
  {
    std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  job_available_.notify_one();
}

void thread_pool::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    job_available_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (jobs_.empty())
      return;
    const std::function<void()> job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

}  // namespace chivecrank::shards
