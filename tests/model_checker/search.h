#ifndef CHIVECRANK_TESTS_MODEL_CHECKER_SEARCH_H_
#define CHIVECRANK_TESTS_MODEL_CHECKER_SEARCH_H_

#include <cstddef>
#include <string>
#include <vector>

#include "model.h"

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

/// Visits the states breadth-first until a rule is broken, none is left, or
/// `limit` states were reached.
search_result Search(const model_options& options, std::size_t limit);

}  // namespace chivecrank::model_checker

#endif  // CHIVECRANK_TESTS_MODEL_CHECKER_SEARCH_H_
