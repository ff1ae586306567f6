#include "search.h"

namespace chivecrank::model_checker {

std::string Describe(const search_result& result) {
  std::string text = std::to_string(result.states) + " states, " +
                     std::to_string(result.transitions) +
                     " transitions, depth " + std::to_string(result.depth) +
                     (result.complete ? ", complete" : ", cut off");
  for (const std::string& step : result.path)
    text += "\n  " + step;
  return text;
}

std::vector<std::string> PathTo(const std::vector<search_origin>& origins,
                                std::size_t index) {
  std::vector<std::string> path;
  for (; index != 0; index = origins[index].parent)
    path.push_back(origins[index].step);
  std::reverse(path.begin(), path.end());
  return path;
}

std::uint64_t HashOf(const std::string& fingerprint) {
  return XXH3_64bits(fingerprint.data(), fingerprint.size());
}

}  // namespace chivecrank::model_checker
