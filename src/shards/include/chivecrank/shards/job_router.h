#ifndef CHIVECRANK_SHARDS_JOB_ROUTER_H_
#define CHIVECRANK_SHARDS_JOB_ROUTER_H_

#include "chivecrank/base/clock.h"
#include "chivecrank/configuration/view.h"
#include "chivecrank/instances/job_service.h"
#include "chivecrank/instances/scheduler_client.h"
#include "chivecrank/ownership/job_shard_registry.h"
#include "chivecrank/shards/shard_manager.h"

namespace chivecrank::shards {

/// Takes jobs at any scheduler and passes each to the owner of its shard. The
/// shard and the identifier follow from the account and the idempotency key,
/// so a repeat through any entry meets the first submission.
class job_router final : public instances::job_service {
 public:
  job_router(shard_manager& manager,
             ownership::job_shard_registry& homes,
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
  base::result<scheduling::task_request> RequestFor(
      const instances::job_submission& submission);
  /// The shard that keeps the job, chosen by the first submission. Refuses a
  /// job that fits into no worker.
  base::result<std::string> ShardFor(const configuration::job_template& job,
                                     const std::string& identifier);
  /// The owner's client, or an error when the call must not be passed on.
  base::result<instances::scheduler_client> OwnerClient(
      const std::string& shard,
      instances::call_origin origin) const;

  shard_manager& manager_;
  ownership::job_shard_registry& homes_;
  const configuration::view& configured_;
  base::clock& clock_;
  std::chrono::milliseconds forward_timeout_;
};

}  // namespace chivecrank::shards

#endif  // CHIVECRANK_SHARDS_JOB_ROUTER_H_
