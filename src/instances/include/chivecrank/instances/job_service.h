#ifndef CHIVECRANK_INSTANCES_JOB_SERVICE_H_
#define CHIVECRANK_INSTANCES_JOB_SERVICE_H_

#include "chivecrank/base/result.h"
#include "chivecrank/instances/types.h"

namespace chivecrank::instances {

/// Whether a call comes from another scheduler, which must not be passed on
/// again.
enum class call_origin { kEntry, kScheduler };

/// Takes jobs. Implemented by schedulers and, over Thrift, by their client.
/// Safe to use from several threads.
class job_service {
 public:
  virtual ~job_service() = default;

  /// Accepts a job, or returns the one accepted under the same account and
  /// key. It is accepted only once its record is confirmed.
  virtual base::result<job_report> Submit(const job_submission& submission,
                                          call_origin origin) = 0;
  /// kNotFound for a job that is unknown or of another account.
  virtual base::result<job_report> Describe(const job_reference& reference,
                                            call_origin origin) = 0;
  /// Cancels a job for good. kConflict when it has ended already.
  virtual base::result<job_report> Cancel(const job_reference& reference,
                                          call_origin origin) = 0;
};

}  // namespace chivecrank::instances

#endif  // CHIVECRANK_INSTANCES_JOB_SERVICE_H_
