#ifndef CHIVECRANK_TESTS_BENCH_PLACEMENT_POLICIES_H_
#define CHIVECRANK_TESTS_BENCH_PLACEMENT_POLICIES_H_

#include <memory>
#include <string>
#include <vector>

#include "chivecrank/scheduling/planner.h"
#include "scenario.h"

namespace chivecrank::bench {

/// ours; first_fit and random, which know no interference, learn nothing and
/// preempt nothing; told, which is ours given the true interference.
std::vector<std::string> PolicyNames();

std::unique_ptr<scheduling::planner> MakePolicy(const std::string& name,
                                                const scenario& in,
                                                std::uint64_t seed);

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_PLACEMENT_POLICIES_H_
