#ifndef CHIVECRANK_IDEMPOTENCY_HOME_CLIENT_H_
#define CHIVECRANK_IDEMPOTENCY_HOME_CLIENT_H_

#include "chivecrank/base/result.h"
#include "chivecrank/idempotency/types.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::idempotency {

/// What an entry offers to the other entries: the homes that it has. kFenced:
/// it is not the home of the key. Safe to use from several threads.
class home_service {
 public:
  virtual ~home_service() = default;

  virtual base::result<decision> Begin(const arrival& request,
                                       time_limits limits) = 0;
  virtual base::result<void> Finish(const log_entry& ended) = 0;
  virtual base::result<key_report> Describe(const std::string& request_id) = 0;
};

/// Calls the homes of other entries. Each call may be repeated. kUnavailable:
/// it was not made; kOutcomeUnknown: it was not answered. Safe to use from
/// several threads.
class home_client {
 public:
  virtual ~home_client() = default;

  virtual base::result<decision> Begin(const settings::endpoint& entry,
                                       const arrival& request,
                                       time_limits limits) = 0;
  virtual base::result<void> Finish(const settings::endpoint& entry,
                                    const log_entry& ended) = 0;
  virtual base::result<key_report> Describe(const settings::endpoint& entry,
                                            const std::string& request_id) = 0;
  /// Whether the entry answers at all.
  virtual base::result<void> Ping(const settings::endpoint& entry) = 0;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_HOME_CLIENT_H_
