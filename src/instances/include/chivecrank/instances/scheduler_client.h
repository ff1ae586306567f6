#ifndef CHIVECRANK_INSTANCES_SCHEDULER_CLIENT_H_
#define CHIVECRANK_INSTANCES_SCHEDULER_CLIENT_H_

#include <chrono>
#include <memory>

#include "chivecrank/instances/job_service.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::instances {

/// Calls the scheduler of another instance over Thrift, with a new connection
/// for each call. Calls return kUnavailable if the scheduler can't be reached,
/// and kOutcomeUnknown if the call was sent but not answered.
class scheduler_client final : public job_service {
 public:
  scheduler_client(settings::endpoint address,
                   std::chrono::milliseconds timeout);

  base::result<job_report> Submit(const job_submission& submission,
                                  call_origin origin) override;
  base::result<job_report> Describe(const job_reference& reference,
                                    call_origin origin) override;
  base::result<job_report> Cancel(const job_reference& reference,
                                  call_origin origin) override;

 private:
  template <class Call>
  base::result<job_report> Run(const Call& call);

  settings::endpoint address_;
  std::chrono::milliseconds timeout_;
};

}  // namespace chivecrank::instances

#endif  // CHIVECRANK_INSTANCES_SCHEDULER_CLIENT_H_
