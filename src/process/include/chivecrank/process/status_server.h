#ifndef CHIVECRANK_PROCESS_STATUS_SERVER_H_
#define CHIVECRANK_PROCESS_STATUS_SERVER_H_

#include <prometheus/registry.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/http/server.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::process {

/// Whether the daemon accepts work; `reason` says why not.
struct readiness {
  bool ready = false;
  std::string reason;
  /// Active configuration revision; 0 when none is known.
  std::uint64_t revision = 0;
};

/// Serves /healthz, /readyz and /metrics of a daemon. `ready` is called from
/// the threads of the server.
class status_server {
 public:
  status_server(settings::endpoint address,
                std::shared_ptr<prometheus::Registry> metrics,
                std::function<readiness()> ready);

  /// kUnavailable when the address can't be bound.
  base::result<void> Start();
  void Stop();

 private:
  http::response Answer(const http::request& message) const;

  std::shared_ptr<prometheus::Registry> metrics_;
  std::function<readiness()> ready_;
  http::server server_;
};

}  // namespace chivecrank::process

#endif  // CHIVECRANK_PROCESS_STATUS_SERVER_H_
