#ifndef CHIVECRANK_CALLERS_REQUEST_SERVICE_H_
#define CHIVECRANK_CALLERS_REQUEST_SERVICE_H_

#include "chivecrank/base/clock.h"
#include "chivecrank/callers/types.h"
#include "chivecrank/entries/slot_pool.h"
#include "chivecrank/upstreams/upstream_client.h"

namespace chivecrank::callers {

/// Forwards service requests to upstreams. Safe to use from several threads.
class request_service {
 public:
  request_service(base::clock& clock,
                  entries::slot_pool& slots,
                  upstreams::upstream_client& client);

  /// Waits for a slot, sends the request once and returns its outcome.
  caller_answer Serve(const caller_request& request);

 private:
  base::clock& clock_;
  entries::slot_pool& slots_;
  upstreams::upstream_client& client_;
};

}  // namespace chivecrank::callers

#endif  // CHIVECRANK_CALLERS_REQUEST_SERVICE_H_
