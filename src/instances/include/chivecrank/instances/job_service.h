#ifndef CHIVECRANK_INSTANCES_JOB_SERVICE_H_
#define CHIVECRANK_INSTANCES_JOB_SERVICE_H_

#include "chivecrank/base/result.h"
#include "chivecrank/instances/types.h"

namespace chivecrank::instances {

/// Sender of a call. A call from another scheduler has been forwarded already
/// and must not be forwarded again.
enum class call_origin { kEntry, kScheduler };

/// Accepts, describes and cancels jobs. Implemented by schedulers and, over
/// Thrift, by their client. Safe to use from several threads.
class job_service {
 public:
  virtual ~job_service() = default;

  /// Accepts a job, or returns the one already accepted for the same account
  /// and key. A job is accepted only once its record is confirmed.
  virtual base::result<job_report> Submit(const job_submission& submission,
                                          call_origin origin) = 0;
  /// Returns kNotFound if the job is unknown or belongs to another account.
  virtual base::result<job_report> Describe(const job_reference& reference,
                                            call_origin origin) = 0;
  /// Cancels a job permanently. Returns kConflict if it has already ended.
  virtual base::result<job_report> Cancel(const job_reference& reference,
                                          call_origin origin) = 0;
};

}  // namespace chivecrank::instances

#endif  // CHIVECRANK_INSTANCES_JOB_SERVICE_H_
