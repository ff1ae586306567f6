#ifndef CHIVECRANK_SHARDS_JOB_ROUTER_H_
#define CHIVECRANK_SHARDS_JOB_ROUTER_H_

#include "chivecrank/base/clock.h"
#include "chivecrank/configuration/view.h"
#include "chivecrank/instances/job_service.h"
#include "chivecrank/instances/scheduler_client.h"
#include "chivecrank/ownership/job_shard_registry.h"
#include "chivecrank/shards/shard_manager.h"

namespace chivecrank::shards {

/// Accepts jobs at any scheduler and forwards each to the owner of its shard.
/// The identifier and the shard follow from the client account and the
/// idempotency key, so a repeated submission through any entry finds the first
/// one.
class job_router final : public instances::job_service {
 public:
  job_router(shard_manager& manager,
             ownership::job_shard_registry& job_shards,
             const configuration::view& configured,
             base::clock& clock,
             std::chrono::milliseconds forward_timeout);

  base::result<instances::job_report> Submit(
      const instances::job_submission& submission,
      instances::call_origin origin) override;
  base::result<instances::job_report> Describe(
      const instances::job_reference& reference,
      instances::call_origin origin) override;
  base::result<instances::job_report> Cancel(
      const instances::job_reference& reference,
      instances::call_origin origin) override;

 private:
  base::result<scheduling::task_request> MakeTaskRequest(
      const instances::job_submission& submission);
  /// The shard of the job, as recorded for the first submission. Fails for a
  /// job that fits into no worker.
  base::result<std::string> SelectShard(const configuration::job_template& job,
                                        const std::string& identifier);
  /// A client for the shard's owner. kUnavailable if the owner is unknown or
  /// the call was already forwarded once.
  base::result<instances::scheduler_client> OwnerClient(
      const std::string& shard,
      instances::call_origin origin) const;

  shard_manager& manager_;
  ownership::job_shard_registry& job_shards_;
  const configuration::view& configured_;
  base::clock& clock_;
  std::chrono::milliseconds forward_timeout_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_JOB_ROUTER_H_
