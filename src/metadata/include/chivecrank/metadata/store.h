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

/// Calls the store without blocking. Each callback runs once, later, on the
/// caller's loop. Errors: kUnavailable and kResourceExhausted had no effect;
/// after kOutcomeUnknown a change may have been made, or may still be made
/// while its conditions hold.
class store {
 public:
  virtual ~store() = default;

  virtual void Get(const std::string& key,
                   callback<std::optional<item>> done) = 0;

  /// The items under `prefix` whose keys come after `after`.
  /// `may_be_stale`: cheaper, and possibly seconds old.
  virtual void List(const std::string& prefix,
                    const std::string& after,
                    bool may_be_stale,
                    callback<page> done) = 0;

  /// Changes after a revision; waits for one up to `wait`.
  virtual void Watch(const std::string& prefix,
                     revision after,
                     std::chrono::milliseconds wait,
                     callback<change_list> done) = 0;

  virtual void Commit(transaction changes, callback<commit_answer> done) = 0;

  virtual void Grant(std::chrono::milliseconds term,
                     callback<granted_lease> done) = 0;
  /// kNotFound: the lease has ended.
  virtual void Renew(lease_id lease, callback<granted_lease> done) = 0;
  virtual void End(lease_id lease, callback<bool> done) = 0;
};

}  // namespace chivecrank::metadata

#endif  // CHIVECRANK_METADATA_STORE_H_
