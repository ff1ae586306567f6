#ifndef CHIVECRANK_RUNTIME_UNSETTLED_WRITES_H_
#define CHIVECRANK_RUNTIME_UNSETTLED_WRITES_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "chivecrank/base/clock.h"
#include "chivecrank/runtime/conditional_writer.h"

namespace chivecrank::runtime {

/// Names what this instance may still be storing: its writes that are under way
/// and, for a time, those that ended without a known outcome. Not thread-safe.
class unsettled_writes {
 public:
  /// A write without a known outcome counts for `horizon` after its end.
  explicit unsettled_writes(std::chrono::milliseconds horizon);

  /// A write for `id` begins. End() must be called once for each.
  void Begin(const std::string& id);
  void End(const std::string& id, write_outcome outcome, base::time_point now);
  /// Writes for `id` that ended so far can't take effect any more.
  void Settle(const std::string& id);
  bool Contains(const std::string& id, base::time_point now) const;
  /// Number of identifiers that are kept.
  std::size_t Size() const { return writes_.size(); }

 private:
  struct writes_of_id {
    std::size_t under_way = 0;
    /// The end of the horizon of the last write without a known outcome.
    base::time_point in_doubt_until;
  };
  struct expiry {
    std::string id;
    base::time_point due;
  };

  void DropExpired(base::time_point now);
  void DropIfSettled(const std::string& id, base::time_point now);

  const std::chrono::milliseconds horizon_;
  std::unordered_map<std::string, writes_of_id> writes_;
  /// In the order of `due`.
  std::deque<expiry> expiries_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_UNSETTLED_WRITES_H_
