#ifndef CHIVECRANK_TESTS_LEASE_MODEL_STORE_H_
#define CHIVECRANK_TESTS_LEASE_MODEL_STORE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "chivecrank/submissions/record_codec.h"

namespace chivecrank::lease_model {

/// The store's part for one shard: the newest claim, and the journal in the
/// form of the snapshot that it amounts to.
class store {
 public:
  /// Returns the new owner's fence.
  std::int64_t Claim() { return ++fence_; }
  bool IsOwner(std::int64_t fence) const { return fence == fence_; }
  /// Appends an entry. With `keeps_bounds`, a planted fault, a record doesn't
  /// release a bound.
  void Append(const submissions::journal_entry& entry, bool keeps_bounds);
  const submissions::journal_entry& Journal() const { return *journal_; }

  std::string Fingerprint() const { return std::to_string(fence_) + text_; }

 private:
  std::int64_t fence_ = 0;
  /// Copies of the store share it.
  std::shared_ptr<const submissions::journal_entry> journal_ =
      std::make_shared<submissions::journal_entry>();
  /// The encoded journal.
  std::string text_;
};

}  // namespace chivecrank::lease_model

#endif  // CHIVECRANK_TESTS_LEASE_MODEL_STORE_H_
