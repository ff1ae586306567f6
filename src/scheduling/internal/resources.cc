#include "chivecrank/scheduling/resources.h"

#include <algorithm>

namespace chivecrank::scheduling {
namespace {

double ShareOf(std::int64_t used, std::int64_t total) {
  if (total <= 0)
    return 0;
  return static_cast<double>(used) / static_cast<double>(total);
}

}  // namespace

platform::resources Plus(const platform::resources& left,
                         const platform::resources& right) {
  return {left.processors_milli + right.processors_milli,
          left.memory_mib + right.memory_mib,
          left.accelerators + right.accelerators};
}

platform::resources Minus(const platform::resources& left,
                          const platform::resources& right) {
  return {left.processors_milli - right.processors_milli,
          left.memory_mib - right.memory_mib,
          left.accelerators - right.accelerators};
}

platform::resources Larger(const platform::resources& left,
                           const platform::resources& right) {
  return {std::max(left.processors_milli, right.processors_milli),
          std::max(left.memory_mib, right.memory_mib),
          std::max(left.accelerators, right.accelerators)};
}

bool IsWithin(const platform::resources& demand,
              const platform::resources& limit) {
  return demand.processors_milli <= limit.processors_milli &&
         demand.memory_mib <= limit.memory_mib &&
         demand.accelerators <= limit.accelerators;
}

bool Fits(const platform::resources& demand,
          const platform::resources& committed,
          const platform::resources& capacity) {
  return IsWithin(Plus(demand, committed), capacity);
}

double DominantShare(const platform::resources& used,
                     const platform::resources& total) {
  return std::max({ShareOf(used.processors_milli, total.processors_milli),
                   ShareOf(used.memory_mib, total.memory_mib),
                   ShareOf(used.accelerators, total.accelerators)});
}

}  // namespace chivecrank::scheduling
