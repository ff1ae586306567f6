#ifndef CHIVECRANK_IDEMPOTENCY_HOME_CLIENT_H_
#define CHIVECRANK_IDEMPOTENCY_HOME_CLIENT_H_

#include "chivecrank/base/result.h"
#include "chivecrank/idempotency/types.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::idempotency {

/// The homes of this entry as other entries call them. Calls return kFenced if
/// this entry is not the home of the key. Thread-safe.
class home_service {
 public:
  virtual ~home_service() = default;

  virtual base::result<decision> Begin(const arrival& request,
                                       time_limits limits) = 0;
  virtual base::result<void> Finish(const log_entry& outcome) = 0;
  virtual base::result<key_report> Describe(const std::string& request_id) = 0;
};

/// Calls the homes of other entries. Every call is idempotent. Errors:
/// kUnavailable if the call was not made, kOutcomeUnknown if it was not
/// answered. Thread-safe.
class home_client {
 public:
  virtual ~home_client() = default;

  virtual base::result<decision> Begin(const settings::endpoint& entry,
                                       const arrival& request,
                                       time_limits limits) = 0;
  virtual base::result<void> Finish(const settings::endpoint& entry,
                                    const log_entry& outcome) = 0;
  virtual base::result<key_report> Describe(const settings::endpoint& entry,
                                            const std::string& request_id) = 0;
  /// Succeeds if the entry answers.
  virtual base::result<void> Ping(const settings::endpoint& entry) = 0;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_HOME_CLIENT_H_
