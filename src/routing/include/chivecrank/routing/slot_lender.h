#ifndef CHIVECRANK_ROUTING_SLOT_LENDER_H_
#define CHIVECRANK_ROUTING_SLOT_LENDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/routing/types.h"

namespace chivecrank::routing {

/// The slots that belong to this entry: those in use, lent or held back.
///
/// A slot whose request was given up on, or whose lease passed without a
/// message, may still be busy at the upstream. It is held back until the
/// upstream has answered something that was sent later, and `run_limit` more.
class slot_lender {
 public:
  slot_lender(const sharing_options& options, base::time_point usable_from);

  /// Sets how many slots of an upstream belong to this entry.
  void SetOwn(const std::string& upstream_id, std::int64_t slots);

  /// Slots that a request may take now.
  std::int64_t Free(const std::string& upstream_id, base::time_point now) const;

  void Take(const std::string& upstream_id);
  void GiveBack(const std::string& upstream_id);
  /// The slot's request was given up on.
  void Abandon(const std::string& upstream_id, base::time_point now);

  /// The upstream answered something that was sent at `sent`.
  void ConfirmAnswer(const std::string& upstream_id,
                     base::time_point sent,
                     base::time_point now);

  /// Lends up to `slots` slots of one upstream.
  std::optional<slot_grant> Lend(std::int64_t borrower,
                                 const std::string& upstream_id,
                                 std::int64_t slots,
                                 base::time_point now);
  /// Takes lent slots back; repeats change nothing.
  void Return(std::int64_t borrower, const grant_return& returned);
  /// Prolongs a grant. False when it is not lent any more.
  bool Renew(std::int64_t borrower, std::uint64_t number, base::time_point now);

  /// Takes back what time allows. Call it before decisions.
  void Advance(base::time_point now);

  /// Upstreams with slots that are held back until they answer.
  std::vector<std::string> AwaitingAnswer() const;
  /// Whether nothing of an upstream is in use, lent or lately held back.
  bool IsIdle(const std::string& upstream_id, base::time_point now) const;
  void Forget(const std::string& upstream_id) { own_.erase(upstream_id); }

  std::int64_t lent() const;
  std::int64_t LentTo(std::int64_t borrower) const;
  std::int64_t held_back() const { return held_; }

 private:
  struct held_slot {
    base::time_point since;
    std::optional<base::time_point> free_at;
  };
  struct own_slots {
    std::int64_t total = 0;
    std::int64_t in_use = 0;
    std::int64_t lent = 0;
    std::vector<held_slot> held;
  };
  struct lent_grant {
    std::int64_t borrower = 0;
    std::string upstream_id;
    std::int64_t slots = 0;
    std::int64_t returned = 0;
    base::time_point reclaim_at;
  };

  const sharing_options options_;
  const base::time_point usable_from_;
  std::map<std::string, own_slots> own_;
  std::map<std::uint64_t, lent_grant> grants_;
  std::uint64_t last_number_ = 0;
  base::time_point next_reclaim_ = base::time_point::max();
  std::int64_t held_ = 0;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_SLOT_LENDER_H_
