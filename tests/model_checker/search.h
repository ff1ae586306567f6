#ifndef CHIVECRANK_TESTS_MODEL_CHECKER_SEARCH_H_
#define CHIVECRANK_TESTS_MODEL_CHECKER_SEARCH_H_

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace chivecrank::model_checker {

/// What a search found.
struct search_result {
  /// Distinct states that were reached.
  std::size_t states = 0;
  std::size_t transitions = 0;
  /// Length of the longest of the shortest paths.
  std::size_t depth = 0;
  /// Whether every state within the options was reached.
  bool complete = false;
  /// The rule that was broken first; empty when none was.
  std::string broken;
  /// The steps that lead there.
  std::vector<std::string> path;
};

/// The numbers of a search and the path to a broken rule.
std::string Describe(const search_result& result);

/// How a state was reached.
struct search_origin {
  std::size_t parent = 0;
  std::string step;
  std::size_t depth = 0;
};

/// The steps that lead to the state with this index.
std::vector<std::string> PathTo(const std::vector<search_origin>& origins,
                                std::size_t index);

std::uint64_t HashOf(const std::string& fingerprint);

/// Visits the states from `initial` on breadth-first until a rule is broken,
/// none is left, or `limit` states were reached. A state has a Fingerprint();
/// `successors` returns the steps from a state, each with its `step` and
/// `state`; BrokenRule is found beside the state.
template <class State, class Successors>
search_result Search(State initial,
                     const Successors& successors,
                     std::size_t limit) {
  search_result result;
  std::unordered_set<std::uint64_t> seen;
  std::vector<search_origin> origins(1);
  std::deque<std::pair<std::size_t, State>> frontier;
  seen.insert(HashOf(initial.Fingerprint()));
  frontier.emplace_back(0, std::move(initial));
  while (!frontier.empty() && seen.size() < limit) {
    const auto [index, state] = std::move(frontier.front());
    frontier.pop_front();
    result.depth = origins[index].depth;
    for (auto& next : successors(state)) {
      ++result.transitions;
      if (!seen.insert(HashOf(next.state.Fingerprint())).second)
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

#endif  // CHIVECRANK_TESTS_MODEL_CHECKER_SEARCH_H_
