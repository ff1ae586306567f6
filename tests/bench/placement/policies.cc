#include "policies.h"

#include <random>

namespace chivecrank::bench {
namespace {

using scheduling::placement_candidate;
using scheduling::planner_hooks;
using scheduling::planner_settings;

planner_settings WithoutKnowledge() {
  planner_settings settings;
  settings.mitigation_enabled = false;
  settings.preemption_enabled = false;
  settings.learning_enabled = false;
  return settings;
}

planner_hooks FirstFit() {
  planner_hooks hooks;
  hooks.choose_worker = [](const std::vector<placement_candidate>&) {
    return 0;
  };
  return hooks;
}

planner_hooks Random(std::uint64_t seed) {
  planner_hooks hooks;
  hooks.choose_worker =
      [random = std::mt19937_64(seed)](
          const std::vector<placement_candidate>& feasible) mutable {
        std::uniform_int_distribution<std::size_t> pick(0, feasible.size() - 1);
        return pick(random);
      };
  return hooks;
}

planner_hooks Told(const scenario& in) {
  planner_hooks hooks;
  hooks.known_interference =
      [&in](const std::string& service,
            const std::string& batch) -> std::optional<double> {
    const auto& slopes = FindService(in, service)->slopes;
    const auto found = slopes.find(batch);
    return found == slopes.end() ? 0 : found->second;
  };
  return hooks;
}

}  // namespace

std::vector<std::string> PolicyNames() {
  return {"ours", "first_fit", "random", "told"};
}

std::unique_ptr<scheduling::planner> MakePolicy(const std::string& name,
                                                const scenario& in,
                                                std::uint64_t seed) {
  using scheduling::planner;
  if (name == "first_fit")
    return std::make_unique<planner>(WithoutKnowledge(), FirstFit());
  if (name == "random")
    return std::make_unique<planner>(WithoutKnowledge(), Random(seed));
  if (name == "told")
    return std::make_unique<planner>(planner_settings{}, Told(in));
  return std::make_unique<planner>(planner_settings{}, planner_hooks{});
}

}  // namespace chivecrank::bench
