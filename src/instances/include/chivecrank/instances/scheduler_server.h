#ifndef CHIVECRANK_INSTANCES_SCHEDULER_SERVER_H_
#define CHIVECRANK_INSTANCES_SCHEDULER_SERVER_H_

#include <memory>

#include "chivecrank/base/result.h"
#include "chivecrank/instances/job_service.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::instances {

/// Serves a job service to the other instances over Thrift.
class scheduler_server {
 public:
  scheduler_server(settings::endpoint address, job_service& jobs);
  ~scheduler_server();
  scheduler_server(const scheduler_server&) = delete;
  scheduler_server& operator=(const scheduler_server&) = delete;

  /// Returns kUnavailable if the address can't be bound.
  base::result<void> Start();
  /// Stops the server once the calls in progress have ended.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace chivecrank::instances

#endif  // CHIVECRANK_INSTANCES_SCHEDULER_SERVER_H_
