#ifndef CHIVECRANK_INSTANCES_ENTRY_SERVER_H_
#define CHIVECRANK_INSTANCES_ENTRY_SERVER_H_

#include <memory>

#include "chivecrank/base/result.h"
#include "chivecrank/idempotency/home_client.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::instances {

/// Offers the homes of this entry to the other entries over Thrift.
class entry_server {
 public:
  entry_server(const settings::endpoint& address,
               idempotency::home_service& homes);
  ~entry_server();
  entry_server(const entry_server&) = delete;
  entry_server& operator=(const entry_server&) = delete;

  /// kUnavailable when the address can't be bound.
  base::result<void> Start();
  /// Stops after the calls in progress.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace chivecrank::instances

#endif  // CHIVECRANK_INSTANCES_ENTRY_SERVER_H_
