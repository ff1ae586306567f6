#include "chivecrank/coordination/cached_instance_list.h"

namespace chivecrank::coordination {

cached_instance_list::cached_instance_list(instance_list& source,
                                           base::clock& clock,
                                           std::chrono::milliseconds max_age)
    : source_(source), clock_(clock), max_age_(max_age) {}

base::result<std::vector<instance>> cached_instance_list::List() {
  if (const auto fresh = Held(false))
    return *fresh;
  std::unique_lock calling(call_mutex_, std::try_to_lock);
  if (!calling.owns_lock()) {
    if (const auto older = Held(true))
      return *older;
    calling.lock();
  }
  if (const auto fresh = Held(false))
    return *fresh;
  const base::time_point asked = clock_.Now();
  listing answer = source_.List();
  std::lock_guard lock(mutex_);
  held_ = answer;
  asked_ = asked;
  return answer;
}

std::optional<cached_instance_list::listing> cached_instance_list::Held(
    bool however_old) {
  std::lock_guard lock(mutex_);
  if (!however_old && clock_.Now() - asked_ >= max_age_)
    return std::nullopt;
  return held_;
}

}  // namespace chivecrank::coordination
