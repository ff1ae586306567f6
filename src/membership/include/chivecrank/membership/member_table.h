#ifndef CHIVECRANK_MEMBERSHIP_MEMBER_TABLE_H_
#define CHIVECRANK_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chivecrank/membership/types.h"

namespace chivecrank::membership {

/// Parameters of the failure detection.
struct member_settings {
  /// A suspect that does not refute the suspicion within this time is declared
  /// dead.
  std::chrono::milliseconds suspicion_timeout{3000};
  /// Maximum number of rumors in a digest.
  std::size_t max_rumors = 12;
  /// Number of times a rumor is passed on, per doubling of the number of
  /// members.
  std::size_t repeats_per_doubling = 3;
};

/// Failure detector in the manner of SWIM. A failed probe makes a member
/// suspect. A suspect is declared dead unless it refutes the suspicion in time.
/// Each rumor is passed on a limited number of times and the size of a digest
/// is limited, so the traffic of a process does not grow with the number of
/// members. Deterministic: the caller supplies the time and random numbers. Not
/// thread-safe.
class member_table {
 public:
  member_table(peer self, std::uint64_t incarnation, member_settings settings);

  /// Updates the members from the platform's instance list, which may be out of
  /// date. New peers are live at first; peers that are no longer listed are
  /// removed.
  void UpdatePeers(const std::vector<peer>& listed, base::time_point now);
  /// Marks a live member as suspect after a failed probe.
  void RecordProbeFailure(const std::string& id, base::time_point now);
  /// Applies a rumor from a peer. If it says that this process is suspect or
  /// dead, this process refutes it with a higher incarnation.
  void ApplyRumor(const rumor& claim, base::time_point now);
  /// Declares suspects dead whose time to refute has passed.
  void ExpireSuspicions(base::time_point now);
  /// Lets the rumor about this process say that it is leaving.
  void MarkLeaving();

  /// Returns the rumors for a digest sent to the member `about` and counts them
  /// as passed on. The first is about this process. If the receiver is not
  /// live, its status is included, so that it can refute it.
  std::vector<rumor> TakeRumors(const std::string& about);
  /// Returns a random member to probe, sometimes a dead one, as it may have
  /// returned; std::nullopt if there is none.
  std::optional<peer> PickProbeTarget(std::mt19937_64& random) const;
  /// Returns up to `count` distinct live members.
  std::vector<peer> PickLive(std::size_t count, std::mt19937_64& random) const;
  /// Whether this process has the lowest id of all live members with the same
  /// failure domain and role.
  bool HasLowestIdInDomain() const;

  /// All members except this process, sorted by id.
  std::vector<member> Members() const;

 private:
  struct entry {
    member known;
    /// How many more times the status is passed on.
    std::size_t remaining_repeats = 0;
  };

  std::size_t RepeatCount() const;
  void Set(entry& at, const rumor& claim, base::time_point now);

  const peer self_;
  const member_settings settings_;
  std::uint64_t incarnation_;
  bool leaving_ = false;
  std::map<std::string, entry> entries_;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_MEMBER_TABLE_H_
