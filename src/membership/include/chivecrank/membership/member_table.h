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

/// Times and bounds of the failure detection.
struct member_settings {
  /// A suspect that does not refute within this time is taken for dead.
  std::chrono::milliseconds suspicion{3000};
  /// Statements that one digest carries at most.
  std::size_t rumor_limit = 12;
  /// A statement is passed on this many times per doubling of the members.
  std::size_t repeats = 3;
};

/// Decides who is live: probes lead to suspicion, suspicion to death unless
/// the member refutes it. Statements travel a bounded number of times, so the
/// cost of a process does not grow with the number of members.
/// Deterministic; the caller brings time and random numbers.
class member_table {
 public:
  member_table(peer self, std::uint64_t incarnation, member_settings settings);

  /// Takes over the platform's lagging list: new peers count as live, and
  /// those that are no longer listed go.
  void SetListed(const std::vector<peer>& listed, base::time_point now);
  /// A probe of a member failed.
  void Unanswered(const std::string& id, base::time_point now);
  /// Takes in a statement. One against this process itself is refuted.
  void Hear(const rumor& heard, base::time_point now);
  /// Lets suspicions that were not refuted become deaths.
  void Advance(base::time_point now);
  /// States that this process is going.
  void Leave();

  /// The statements for one digest; the first is about this process. `about`
  /// is included when it is not plainly live, so that it can refute.
  std::vector<rumor> TakeRumors(const std::string& about);
  /// A member to talk to; now and then one taken for dead, since it may be
  /// back. Nothing when there is no other.
  std::optional<peer> Pick(std::mt19937_64& random) const;
  /// Up to `count` distinct members that are live.
  std::vector<peer> PickLive(std::size_t count, std::mt19937_64& random) const;
  /// Whether this process has the lowest id of the live ones of its failure
  /// domain and daemon.
  bool IsFirstInDomain() const;

  /// All members but this process, by id.
  std::vector<member> Members() const;

 private:
  struct entry {
    member known;
    /// How often its status may still be passed on.
    std::size_t repeats = 0;
  };

  std::size_t Repeats() const;
  void Set(entry& at, const rumor& heard, base::time_point now);

  const peer self_;
  const member_settings settings_;
  std::uint64_t incarnation_;
  bool leaving_ = false;
  std::map<std::string, entry> entries_;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_MEMBER_TABLE_H_
