#include "chivecrank/runtime/unsettled_writes.h"

namespace chivecrank::runtime {

unsettled_writes::unsettled_writes(std::chrono::milliseconds horizon)
    : horizon_(horizon) {}

void unsettled_writes::Begin(const std::string& id) {
  ++writes_[id].under_way;
}

void unsettled_writes::End(const std::string& id,
                           write_outcome outcome,
                           base::time_point now) {
  DropExpired(now);
  writes_of_id& ended = writes_[id];
  --ended.under_way;
  switch (outcome) {
    case write_outcome::kWritten:
    case write_outcome::kKeyExists:
      // What is stored makes the conditions of earlier writes fail.
      return Settle(id);
    case write_outcome::kNotWritten:
      return DropIfSettled(id, now);
    case write_outcome::kUnknown:
      ended.in_doubt_until = now + horizon_;
      expiries_.push_back({id, ended.in_doubt_until});
  }
}

void unsettled_writes::Settle(const std::string& id) {
  const auto found = writes_.find(id);
  if (found == writes_.end())
    return;
  found->second.in_doubt_until = {};
  if (found->second.under_way == 0)
    writes_.erase(found);
}

bool unsettled_writes::Contains(const std::string& id,
                                base::time_point now) const {
  const auto found = writes_.find(id);
  return found != writes_.end() &&
         (found->second.under_way > 0 || now < found->second.in_doubt_until);
}

void unsettled_writes::DropExpired(base::time_point now) {
  for (; !expiries_.empty() && expiries_.front().due <= now;
       expiries_.pop_front())
    DropIfSettled(expiries_.front().id, now);
}

void unsettled_writes::DropIfSettled(const std::string& id,
                                     base::time_point now) {
  if (!Contains(id, now))
    writes_.erase(id);
}

}  // namespace chivecrank::runtime
