#ifndef CHIVECRANK_COORDINATION_CACHED_INSTANCE_LIST_H_
#define CHIVECRANK_COORDINATION_CACHED_INSTANCE_LIST_H_

#include <mutex>
#include <optional>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/instance_list.h"

namespace chivecrank::coordination {

/// Caches an instance list for all users in a process. The platform is called
/// at most once per `max_age`, and failures are cached as well. Thread-safe.
/// While one thread calls the platform, others get the cached list, and wait
/// only if there is none yet.
class cached_instance_list final : public instance_list {
 public:
  cached_instance_list(instance_list& source,
                       base::clock& clock,
                       std::chrono::milliseconds max_age);

  base::result<std::vector<instance>> List() override;

 private:
  using listing = base::result<std::vector<instance>>;

  std::optional<listing> Cached(bool allow_stale);

  instance_list& source_;
  base::clock& clock_;
  const std::chrono::milliseconds max_age_;
  /// Locked during a call to the source.
  std::mutex call_mutex_;
  std::mutex mutex_;
  std::optional<listing> cached_;
  base::time_point fetched_at_;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_CACHED_INSTANCE_LIST_H_
