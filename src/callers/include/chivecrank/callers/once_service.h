#ifndef CHIVECRANK_CALLERS_ONCE_SERVICE_H_
#define CHIVECRANK_CALLERS_ONCE_SERVICE_H_

#include <string>

#include "chivecrank/callers/request_service.h"
#include "chivecrank/callers/types.h"
#include "chivecrank/idempotency/request_gate.h"

namespace chivecrank::callers {

/// Serves service requests. A request that is not idempotent is executed at
/// most once for each key of an account. Safe to use from several threads.
class once_service {
 public:
  once_service(base::clock& clock,
               request_service& requests,
               idempotency::request_gate& gate);

  caller_answer Serve(const caller_request& request);

  /// Returns the recorded state of a key of an account. Waits up to 1 s.
  base::result<idempotency::key_report> Describe(const std::string& account,
                                                 const std::string& key);

 private:
  caller_answer ServeAdmitted(const caller_request& request,
                              const idempotency::arrival& admitted);

  base::clock& clock_;
  request_service& requests_;
  idempotency::request_gate& gate_;
};

}  // namespace chivecrank::callers

#endif  // CHIVECRANK_CALLERS_ONCE_SERVICE_H_
