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

coordination::resources Plus(const coordination::resources& left,
                             const coordination::resources& right) {
  return {left.processors_milli + right.processors_milli,
          left.memory_mib + right.memory_mib,
          left.accelerators + right.accelerators};
}

coordination::resources Minus(const coordination::resources& left,
                              const coordination::resources& right) {
  return {left.processors_milli - right.processors_milli,
          left.memory_mib - right.memory_mib,
          left.accelerators - right.accelerators};
}

coordination::resources ElementwiseMax(const coordination::resources& left,
                                       const coordination::resources& right) {
  return {std::max(left.processors_milli, right.processors_milli),
          std::max(left.memory_mib, right.memory_mib),
          std::max(left.accelerators, right.accelerators)};
}

bool IsWithin(const coordination::resources& demand,
              const coordination::resources& limit) {
  return demand.processors_milli <= limit.processors_milli &&
         demand.memory_mib <= limit.memory_mib &&
         demand.accelerators <= limit.accelerators;
}

bool Fits(const coordination::resources& demand,
          const coordination::resources& committed,
          const coordination::resources& capacity) {
  return IsWithin(Plus(demand, committed), capacity);
}

double DominantShare(const coordination::resources& used,
                     const coordination::resources& total) {
  return std::max({ShareOf(used.processors_milli, total.processors_milli),
                   ShareOf(used.memory_mib, total.memory_mib),
                   ShareOf(used.accelerators, total.accelerators)});
}

}  // namespace chivecrank::scheduling
