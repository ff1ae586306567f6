#ifndef CHIVECRANK_CALLERS_REQUEST_SERVICE_H_
#define CHIVECRANK_CALLERS_REQUEST_SERVICE_H_

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/callers/types.h"
#include "chivecrank/routing/slot_router.h"
#include "chivecrank/upstreams/upstream_client.h"

namespace chivecrank::callers {

/// Takes service requests to upstreams. Safe to use from several threads.
class request_service {
 public:
  request_service(base::clock& clock,
                  routing::entry_share share,
                  upstreams::upstream_client& client);

  /// Takes over the list of upstreams.
  void UpdateUpstreams(const std::vector<platform::instance>& upstreams);

  /// Waits for a slot, sends the request once and tells what became of it.
  caller_answer Serve(const caller_request& request);

 private:
  std::optional<platform::instance> WaitForSlot(base::time_point deadline);
  void Release(const std::string& upstream_id);

  base::clock& clock_;
  upstreams::upstream_client& client_;
  std::mutex mutex_;
  std::condition_variable released_;
  routing::slot_router router_;
};

}  // namespace chivecrank::callers

#endif  // CHIVECRANK_CALLERS_REQUEST_SERVICE_H_
