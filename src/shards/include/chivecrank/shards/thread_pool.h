#ifndef CHIVECRANK_SHARDS_THREAD_POOL_H_
#define CHIVECRANK_SHARDS_THREAD_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace chivecrank::shards {

/// Runs functions on a fixed number of threads, started in the order in which
/// they were posted. Safe to use from several threads.
class thread_pool {
 public:
  explicit thread_pool(std::size_t threads);
  /// Runs the functions that are still queued, then joins the threads.
  ~thread_pool();
  thread_pool(const thread_pool&) = delete;
  thread_pool& operator=(const thread_pool&) = delete;

  void Post(std::function<void()> job);

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable job_available_;
  std::deque<std::function<void()>> jobs_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_THREAD_POOL_H_
