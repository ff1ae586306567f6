#include "chivecrank/runtime/claim_order.h"

#include <algorithm>
#include <tuple>

#include "chivecrank/runtime/keys.h"

namespace chivecrank::runtime {
namespace {

/// An instance is much larger than another one from this ratio of their
/// processor times on.
constexpr std::int64_t kMuchLargerFactor = 2;

/// Enough that some are left when others fail at the same time.
constexpr std::ptrdiff_t kFirstCandidates = 3;

void SortByShare(std::vector<claim_candidate>& candidates,
                 std::string_view shard) {
  std::ranges::sort(
      candidates, std::ranges::greater(), [&](const claim_candidate& entry) {
        return std::tuple(entry.ShareWithOneMore(),
                          HashNames(entry.node, shard), entry.node);
      });
}

}  // namespace

std::chrono::milliseconds ClaimDelay(std::vector<claim_candidate> candidates,
                                     const claim_request& request,
                                     const claim_order_settings& settings) {
  SortByShare(candidates, request.shard);
  const auto own =
      std::ranges::find(candidates, request.node, &claim_candidate::node);
  const std::chrono::milliseconds delay =
      settings.stagger * (own - candidates.begin());
  const bool much_smaller =
      own->processors_milli * kMuchLargerFactor < request.previous_owner_milli;
  return much_smaller ? settings.larger_return_time + delay : delay;
}

bool IsAmongFirst(std::vector<claim_candidate> candidates,
                  std::string_view node) {
  SortByShare(candidates, {});
  const auto own = std::ranges::find(candidates, node, &claim_candidate::node);
  return own != candidates.end() && own - candidates.begin() < kFirstCandidates;
}

bool HasMuchLargerCandidate(const std::vector<claim_candidate>& candidates,
                            std::string_view owner) {
  const auto own = std::ranges::find(candidates, owner, &claim_candidate::node);
  if (own == candidates.end() || own->owned_shards == 0)
    return false;
  const std::int64_t own_share = own->processors_milli / own->owned_shards;
  return std::ranges::any_of(candidates, [&](const claim_candidate& other) {
    return other.node != owner &&
           other.ShareWithOneMore() >= kMuchLargerFactor * own_share;
  });
}

}  // namespace chivecrank::runtime
