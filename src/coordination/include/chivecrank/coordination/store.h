#ifndef CHIVECRANK_COORDINATION_STORE_H_
#define CHIVECRANK_COORDINATION_STORE_H_

#include <chrono>
#include <optional>
#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/types.h"

namespace chivecrank::coordination {

/// The platform's key-value store. Any call may fail with kUnavailable, which
/// means that it had no effect. A write may also fail with kOutcomeUnknown,
/// which means that it may have taken effect: read the key to find out.
/// Thread-safe.
class store {
 public:
  virtual ~store() = default;

  /// Returns the entry, or std::nullopt if the key does not exist.
  virtual base::result<std::optional<store_entry>> Get(
      call_class purpose,
      const std::string& key) = 0;

  /// Writes the key if it has the expected version, and returns the new
  /// version. kConflict if it has another version; kNotFound if the lease has
  /// expired.
  virtual base::result<version> Put(call_class purpose,
                                    const put_request& write) = 0;

  /// Deletes the key if it has the expected version; kConflict otherwise.
  virtual base::result<void> Delete(call_class purpose,
                                    const std::string& key,
                                    version expected) = 0;

  /// Lists all keys that start with `prefix`, in ascending order.
  virtual base::result<store_listing> List(call_class purpose,
                                           const std::string& prefix) = 0;

  /// Returns the changes under a prefix, waiting for one if necessary.
  virtual base::result<watch_answer> Watch(const watch_request& request) = 0;

  /// Grants a lease that expires unless it is renewed within `term`.
  virtual base::result<lease_id> GrantLease(std::chrono::milliseconds term) = 0;

  /// Restarts the term of a lease. kNotFound if it has expired.
  virtual base::result<void> RenewLease(lease_id lease) = 0;

  /// Ends a lease and deletes its keys.
  virtual base::result<void> RevokeLease(lease_id lease) = 0;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_STORE_H_
