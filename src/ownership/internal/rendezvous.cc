#include "chivecrank/ownership/rendezvous.h"

#include <xxhash.h>

#include <cstdint>

namespace chivecrank::ownership {

std::string ProposeNode(const std::string& key,
                        const std::vector<std::string>& nodes) {
  std::string best;
  std::uint64_t best_score = 0;
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  for (const std::string& node : nodes) {
    const std::uint64_t score = XXH64(node.data(), node.size(), seed);
    if (best.empty() || score > best_score ||
        (score == best_score && node < best)) {
      best = node;
      best_score = score;
    }
  }
  return best;
}

}  // namespace chivecrank::ownership
