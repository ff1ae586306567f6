#include "chivecrank/scheduling/submission_check.h"

#include <algorithm>
#include <string>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::scheduling {
namespace {

std::string TextOf(const coordination::resources& size) {
  return std::to_string(size.processors_milli) + " milli-processors, " +
         std::to_string(size.memory_mib) + " MiB and " +
         std::to_string(size.accelerators) + " accelerators";
}

/// Returns the capacities that fit within no other one.
std::vector<coordination::resources> LargestOf(
    const std::vector<worker_view>& workers) {
  std::vector<coordination::resources> largest;
  for (const worker_view& worker : workers) {
    const coordination::resources& size = worker.capacity;
    const bool covered =
        std::any_of(largest.begin(), largest.end(),
                    [&](const auto& known) { return IsWithin(size, known); });
    if (covered)
      continue;
    std::erase_if(largest,
                  [&](const auto& known) { return IsWithin(known, size); });
    largest.push_back(size);
  }
  return largest;
}

std::string TextOfLargest(const std::vector<worker_view>& workers) {
  std::string text;
  for (const coordination::resources& size : LargestOf(workers))
    text += (text.empty() ? "" : ", or ") + TextOf(size);
  return text;
}

}  // namespace

base::result<void> CheckSubmission(const coordination::resources& demand,
                                   std::int64_t gang_size,
                                   const std::vector<worker_view>& workers) {
  std::int64_t fitting = 0;
  for (const worker_view& worker : workers) {
    fitting += CountFittingTasks(demand, worker.capacity, gang_size - fitting);
    if (fitting >= gang_size)
      return base::Success();
  }
  if (fitting == 0) {
    return base::error{
        base::error_kind::kInvalidArgument,
        "a task of " + TextOf(demand) + " fits into no worker, even when empty",
        "ask for at most " + TextOfLargest(workers)};
  }
  return base::error{
      base::error_kind::kInvalidArgument,
      std::to_string(gang_size) + " tasks of " + TextOf(demand) +
          " that start together fit into no set of workers, even when empty",
      "ask for at most " + std::to_string(fitting) +
          " tasks of this size in one shard, or for smaller ones"};
}

std::int64_t CountFittingTasks(const coordination::resources& demand,
                               const coordination::resources& capacity,
                               std::int64_t limit) {
  std::int64_t count = 0;
  coordination::resources taken;
  while (count < limit && Fits(demand, taken, capacity)) {
    taken = Plus(taken, demand);
    ++count;
  }
  return count;
}

}  // namespace chivecrank::scheduling
