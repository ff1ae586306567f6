#include "search.h"

#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <unordered_set>
#include <utility>

namespace chivecrank::model_checker {
namespace {

/// How a state was reached.
struct origin {
  std::size_t parent = 0;
  std::string step;
  std::size_t depth = 0;
};

std::vector<std::string> PathTo(const std::vector<origin>& origins,
                                std::size_t index) {
  std::vector<std::string> path;
  for (; index != 0; index = origins[index].parent)
    path.push_back(origins[index].step);
  std::reverse(path.begin(), path.end());
  return path;
}

std::uint64_t HashOf(const model_state& state) {
  const std::string text = state.Fingerprint();
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

search_result Search(const model_options& options, std::size_t limit) {
  search_result result;
  std::unordered_set<std::uint64_t> seen;
  std::vector<origin> origins(1);
  std::deque<std::pair<std::size_t, model_state>> frontier;
  frontier.emplace_back(0, InitialState(options));
  seen.insert(HashOf(frontier.front().second));
  while (!frontier.empty() && seen.size() < limit) {
    const auto [index, state] = std::move(frontier.front());
    frontier.pop_front();
    result.depth = origins[index].depth;
    for (successor& next : Successors(options, state)) {
      ++result.transitions;
      if (!seen.insert(HashOf(next.state)).second)
        continue;
      origins.push_back({index, std::move(next.step), result.depth + 1});
      result.broken = BrokenRule(next.state);
      if (!result.broken.empty()) {
        result.states = seen.size();
        result.path = PathTo(origins, origins.size() - 1);
        return result;
      }
      frontier.emplace_back(origins.size() - 1, std::move(next.state));
    }
  }
  result.states = seen.size();
  result.complete = frontier.empty();
  return result;
}

}  // namespace chivecrank::model_checker
