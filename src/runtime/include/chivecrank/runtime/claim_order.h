#ifndef CHIVECRANK_RUNTIME_CLAIM_ORDER_H_
#define CHIVECRANK_RUNTIME_CLAIM_ORDER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Decides which instance claims a shard without an owner, and when. It answers
/// the moment at which all instances lose their leases at once: those that
/// register first must not win if they have too little processor time for the
/// shard.
namespace chivecrank::runtime {

/// A registered instance that could own a shard.
struct claim_candidate {
  std::string node;
  std::int64_t processors_milli = 0;
  std::int64_t owned_shards = 0;

  /// Processor time for each shard if it owned one more, in millicores.
  std::int64_t ShareWithOneMore() const {
    return processors_milli / (1 + owned_shards);
  }
};

struct claim_order_settings {
  /// Delay per rank: the candidate of rank n, counted from 0, waits n times
  /// this long.
  std::chrono::milliseconds stagger{300};
  /// Time that an instance much smaller than the previous owner leaves to
  /// larger instances, which may have lost their leases too and register again.
  std::chrono::milliseconds larger_return_time{1500};
};

/// A claim that an instance considers.
struct claim_request {
  std::string_view node;
  std::string_view shard;
  /// Processor time of the shard's previous owner; 0 if unknown.
  std::int64_t previous_owner_milli = 0;
};

/// Returns how long after the shard lost its owner the instance claims it.
/// Candidates with the most processor time per shard come first; a hash per
/// shard breaks ties. The instance must be among the candidates.
std::chrono::milliseconds ClaimDelay(std::vector<claim_candidate> candidates,
                                     const claim_request& request,
                                     const claim_order_settings& settings);

/// Whether the instance is among the first that would claim a shard. Only these
/// read what is needed to decide the number of shards.
bool IsAmongFirst(std::vector<claim_candidate> candidates,
                  std::string_view node);

/// Whether an owner should give a shard up, because another candidate has at
/// least twice the processor time for it.
bool HasMuchLargerCandidate(const std::vector<claim_candidate>& candidates,
                            std::string_view owner);

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_CLAIM_ORDER_H_
