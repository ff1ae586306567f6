#ifndef CHIVECRANK_METADATA_STORE_H_
#define CHIVECRANK_METADATA_STORE_H_

#include <functional>
#include <optional>
#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/metadata/types.h"

namespace chivecrank::metadata {

template <class T>
using callback = std::function<void(base::result<T>)>;

/// Asynchronous client of the store. Each callback runs once, after the call
/// returned, on the caller's event loop. Errors: a call that failed with
/// kUnavailable or kResourceExhausted had no effect; after kOutcomeUnknown a
/// change may have taken effect, or may still do so while its conditions hold.
class store {
 public:
  virtual ~store() = default;

  virtual void Get(const std::string& key,
                   callback<std::optional<item>> done) = 0;

  /// Lists items under `prefix` with keys greater than `after`. With
  /// `may_be_stale` the call is cheaper, but its result may be seconds old.
  virtual void List(const std::string& prefix,
                    const std::string& after,
                    bool may_be_stale,
                    callback<page> done) = 0;

  /// Returns the changes after a revision; waits up to `wait` for the first
  /// one.
  virtual void Watch(const std::string& prefix,
                     revision after,
                     std::chrono::milliseconds wait,
                     callback<change_list> done) = 0;

  virtual void Commit(transaction changes, callback<commit_answer> done) = 0;

  virtual void Grant(std::chrono::milliseconds term,
                     callback<granted_lease> done) = 0;
  /// kNotFound when the lease has ended.
  virtual void Renew(lease_id lease, callback<granted_lease> done) = 0;
  virtual void End(lease_id lease, callback<bool> done) = 0;
};

}  // namespace chivecrank::metadata

#endif  // CHIVECRANK_METADATA_STORE_H_
