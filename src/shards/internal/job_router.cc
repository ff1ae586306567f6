#include "chivecrank/shards/job_router.h"

#include "chivecrank/ownership/rendezvous.h"
#include "chivecrank/scheduling/resources.h"
#include "chivecrank/scheduling/submission_check.h"
#include "chivecrank/security/token.h"

namespace chivecrank::shards {
namespace {

constexpr std::size_t kIdentifierDigits = 24;

base::error JobNotFound(const std::string& job_id) {
  return {base::error_kind::kNotFound, "there is no job " + job_id,
          "check the identifier that the submission returned"};
}

base::error OwnerUnavailable(const std::string& shard) {
  return {base::error_kind::kUnavailable,
          "shard " + shard + " has no reachable owner yet",
          "repeat the call with the same idempotency key"};
}

instances::job_report Report(const scheduling::task& task) {
  return {task.request.id,
          task.request.template_name,
          std::string(scheduling::TaskStateName(task.state)),
          task.attempt,
          task.worker_id,
          task.parked_reason};
}

std::string JobIdentifier(const instances::job_submission& submission) {
  const std::string key =
      submission.account + "\n" + submission.idempotency_key;
  return security::HashToken(key).substr(0, kIdentifierDigits);
}

}  // namespace

job_router::job_router(shard_manager& manager,
                       ownership::job_shard_registry& job_shards,
                       const configuration::view& configured,
                       base::clock& clock,
                       std::chrono::milliseconds forward_timeout)
    : manager_(manager),
      job_shards_(job_shards),
      configured_(configured),
      clock_(clock),
      forward_timeout_(forward_timeout) {}

base::result<instances::job_report> job_router::Submit(
    const instances::job_submission& submission,
    instances::call_origin origin) {
  BOOST_OUTCOME_TRY(request, MakeTaskRequest(submission));
  const std::string shard = ShardOfTask(request.id);
  const auto runner = manager_.FindRunner(shard);
  if (!runner) {
    BOOST_OUTCOME_TRY(owner, OwnerClient(shard, origin));
    return owner.Submit(submission, instances::call_origin::kScheduler);
  }
  BOOST_OUTCOME_TRY(accepted, runner->Submit(request));
  return Report(accepted);
}

base::result<instances::job_report> job_router::Describe(
    const instances::job_reference& reference,
    instances::call_origin origin) {
  const std::string shard = ShardOfTask(reference.job_id);
  if (shard.empty())
    return JobNotFound(reference.job_id);
  const auto runner = manager_.FindRunner(shard);
  if (!runner) {
    BOOST_OUTCOME_TRY(owner, OwnerClient(shard, origin));
    return owner.Describe(reference, instances::call_origin::kScheduler);
  }
  BOOST_OUTCOME_TRY(task, runner->Find(reference.job_id));
  if (task.request.account != reference.account)
    return JobNotFound(reference.job_id);
  return Report(task);
}

base::result<instances::job_report> job_router::Cancel(
    const instances::job_reference& reference,
    instances::call_origin origin) {
  const std::string shard = ShardOfTask(reference.job_id);
  if (shard.empty())
    return JobNotFound(reference.job_id);
  const auto runner = manager_.FindRunner(shard);
  if (!runner) {
    BOOST_OUTCOME_TRY(owner, OwnerClient(shard, origin));
    return owner.Cancel(reference, instances::call_origin::kScheduler);
  }
  BOOST_OUTCOME_TRY(task, runner->Find(reference.job_id));
  if (task.request.account != reference.account)
    return JobNotFound(reference.job_id);
  BOOST_OUTCOME_TRY(cancelled, runner->Cancel(reference.job_id));
  return Report(cancelled);
}

base::result<scheduling::task_request> job_router::MakeTaskRequest(
    const instances::job_submission& submission) {
  const auto current = configured_.Current();
  if (!current) {
    return base::error{base::error_kind::kUnavailable,
                       "the configuration is not known yet", "try again later"};
  }
  const configuration::job_template* job =
      configuration::FindJob(current->content, submission.template_name);
  if (job == nullptr) {
    return base::error{
        base::error_kind::kNotFound,
        "there is no job template " + submission.template_name,
        "name a template of revision " + std::to_string(current->revision)};
  }
  const std::string identifier = JobIdentifier(submission);
  BOOST_OUTCOME_TRY(shard, SelectShard(*job, identifier));
  scheduling::task_request request;
  request.id = shard + ":" + identifier;
  request.account = submission.account;
  request.team = submission.team;
  request.template_name = job->name;
  request.demand = job->demand;
  request.run_time = job->run_time;
  request.urgent = job->urgent;
  request.attempt_limit = job->attempt_limit;
  request.checkpoints = job->checkpoints;
  request.due = clock_.WallNow() + job->finish_within;
  return request;
}

base::result<std::string> job_router::SelectShard(
    const configuration::job_template& job,
    const std::string& identifier) {
  const std::vector<coordination::instance> workers = manager_.Workers();
  if (workers.empty())
    return OwnerUnavailable("(none)");
  std::vector<scheduling::worker_view> views;
  std::vector<coordination::instance> fitting_workers;
  for (const coordination::instance& worker : workers) {
    views.push_back({worker.id, worker.capacity});
    if (scheduling::IsWithin(job.demand, worker.capacity))
      fitting_workers.push_back(worker);
  }
  const auto feasibility = scheduling::CheckSubmission(job.demand, 1, views);
  if (feasibility.has_value()) {
    return job_shards_.FindOrAssignShard(
        identifier,
        ownership::ProposeNode(identifier, ShardsOf(fitting_workers)));
  }
  // The job may have been accepted earlier, when there were larger workers.
  BOOST_OUTCOME_TRY(recorded_shard, job_shards_.FindShard(identifier));
  if (recorded_shard.empty())
    return feasibility.error();
  return recorded_shard;
}

base::result<instances::scheduler_client> job_router::OwnerClient(
    const std::string& shard,
    instances::call_origin origin) const {
  const settings::endpoint owner = manager_.FindOwner(shard);
  if (owner.port == 0 || origin == instances::call_origin::kScheduler)
    return OwnerUnavailable(shard);
  return instances::scheduler_client(owner, forward_timeout_);
}

}  // namespace chivecrank::shards
