#ifndef CHIVECRANK_COORDINATION_CACHED_INSTANCE_LIST_H_
#define CHIVECRANK_COORDINATION_CACHED_INSTANCE_LIST_H_

#include <mutex>
#include <optional>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/instance_list.h"

namespace chivecrank::coordination {

/// Shares one instance list among the parts of a process: the platform is
/// asked at most once per `max_age`, also while it fails. Safe to use from
/// several threads; a caller waits for the call of another one only when
/// there is nothing yet to return.
class cached_instance_list final : public instance_list {
 public:
  cached_instance_list(instance_list& source,
                       base::clock& clock,
                       std::chrono::milliseconds max_age);

  base::result<std::vector<instance>> List() override;

 private:
  using listing = base::result<std::vector<instance>>;

  std::optional<listing> Held(bool however_old);

  instance_list& source_;
  base::clock& clock_;
  const std::chrono::milliseconds max_age_;
  /// Held during a call of the source.
  std::mutex call_mutex_;
  std::mutex mutex_;
  std::optional<listing> held_;
  base::time_point asked_;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_CACHED_INSTANCE_LIST_H_
