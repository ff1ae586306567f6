#ifndef CHIVECRANK_COORDINATION_STORE_H_
#define CHIVECRANK_COORDINATION_STORE_H_

#include <chrono>
#include <optional>
#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/types.h"

namespace chivecrank::coordination {

/// The platform's key-value store. Every call may fail with
/// kUnavailable (certainly had no effect) or kOutcomeUnknown (a write may have
/// taken effect: read back, then decide). Safe to use from several threads.
class store {
 public:
  virtual ~store() = default;

  /// The entry, or nothing when the key does not exist.
  virtual base::result<std::optional<store_entry>> Get(
      call_class purpose,
      const std::string& key) = 0;

  /// Writes if the key is at the expected version; returns the new version.
  /// kConflict when it is at another one; kNotFound when the lease has ended.
  virtual base::result<version> Put(call_class purpose,
                                    const put_request& write) = 0;

  /// Deletes if the key is at the expected version. kConflict otherwise.
  virtual base::result<void> Delete(call_class purpose,
                                    const std::string& key,
                                    version expected) = 0;

  /// All keys that start with `prefix`, in order.
  virtual base::result<store_listing> List(call_class purpose,
                                           const std::string& prefix) = 0;

  /// Waits for changes under a prefix.
  virtual base::result<watch_answer> Watch(const watch_request& request) = 0;

  /// Grants a lease that ends unless renewed within `term`.
  virtual base::result<lease_id> GrantLease(std::chrono::milliseconds term) = 0;

  /// Starts the term anew. kNotFound when the lease has ended.
  virtual base::result<void> RenewLease(lease_id lease) = 0;

  /// Ends the lease and deletes its keys.
  virtual base::result<void> RevokeLease(lease_id lease) = 0;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_STORE_H_
