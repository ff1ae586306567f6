#include "chivecrank/coordination/cached_instance_list.h"

namespace chivecrank::coordination {

cached_instance_list::cached_instance_list(instance_list& source,
                                           base::clock& clock,
                                           std::chrono::milliseconds max_age)
    : source_(source), clock_(clock), max_age_(max_age) {}

base::result<std::vector<instance>> cached_instance_list::List() {
  if (const auto fresh = Cached(false))
    return *fresh;
  std::unique_lock calling(call_mutex_, std::try_to_lock);
  if (!calling.owns_lock()) {
    if (const auto older = Cached(true))
      return *older;
    calling.lock();
  }
  if (const auto fresh = Cached(false))
    return *fresh;
  const base::time_point fetched_at = clock_.Now();
  listing answer = source_.List();
  std::lock_guard lock(mutex_);
  cached_ = answer;
  fetched_at_ = fetched_at;
  return answer;
}

std::optional<cached_instance_list::listing> cached_instance_list::Cached(
    bool allow_stale) {
  std::lock_guard lock(mutex_);
  if (!allow_stale && clock_.Now() - fetched_at_ >= max_age_)
    return std::nullopt;
  return cached_;
}

}  // namespace chivecrank::coordination
