#include <Poco/UUIDGenerator.h>
#include <glog/logging.h>

#include <atomic>

#include "chivecrank/base/system_clock.h"
#include "chivecrank/configuration/drained_instance_list.h"
#include "chivecrank/configuration/replica.h"
#include "chivecrank/coordination/cached_instance_list.h"
#include "chivecrank/coordination/http_instance_list.h"
#include "chivecrank/coordination/http_store.h"
#include "chivecrank/coordination/resilient_store.h"
#include "chivecrank/instances/scheduler_server.h"
#include "chivecrank/process/program.h"
#include "chivecrank/process/status_server.h"
#include "chivecrank/process/stop_signal.h"
#include "chivecrank/shards/job_router.h"
#include "chivecrank/shards/task_metrics.h"
#include "chivecrank/workers/http_agent.h"
#include "scheduler_settings.h"

namespace chivecrank {
namespace {

std::string NewRun(const std::string& instance) {
  return instance + "-" +
         Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

process::readiness Readiness(bool stopping,
                             const configuration::view& configured,
                             const shards::shard_manager& manager) {
  if (stopping)
    return {false, "stopping"};
  const auto current = configured.Current();
  if (!current)
    return {false, "the configuration is not known yet"};
  if (!manager.IsReady())
    return {false, "the platform is not reached"};
  return {true, "", current->revision};
}

process::exit_code Run(const scheduler_settings& settings) {
  base::system_clock clock;
  const auto registry = std::make_shared<prometheus::Registry>();
  coordination::http_store store_calls(settings.platform,
                                       settings.store_timeout);
  coordination::store_metrics store_metrics(*registry);
  coordination::resilient_store store(store_calls, clock, store_metrics,
                                      settings.guard);
  coordination::http_instance_list list_calls(settings.platform,
                                              settings.store_timeout);
  coordination::cached_instance_list instances(list_calls, clock,
                                               settings.list_age);
  workers::http_agent agents(settings.agent_timeout);
  configuration::replica configured(
      configuration::MakeReplicaSettings(
          settings.instance, settings.failure_domain,
          membership::daemon::kScheduler, settings.listen.host, settings.peers),
      clock, store, instances, *registry);
  configuration::drained_instance_list drained(instances, configured);
  shards::shard_metrics metrics(*registry);
  shards::task_metrics task_events(*registry);
  shards::shard_manager manager(
      {settings.instance, NewRun(settings.instance), settings.listen},
      settings.shards, settings.session, clock, store, drained, agents,
      [&metrics](const shards::shard_totals& totals) {
        metrics.Update(totals);
      },
      [&task_events](const scheduling::event& recorded) {
        task_events.Count(recorded);
      });
  ownership::job_shard_registry homes(store);
  shards::job_router jobs(manager, homes, configured, clock,
                          settings.peer_timeout);
  std::atomic<bool> stopping = false;

  instances::scheduler_server server(settings.listen, jobs);
  process::status_server status(settings.status, registry, [&] {
    return Readiness(stopping, configured, manager);
  });
  for (const auto& started :
       {status.Start(), server.Start(), configured.Start()}) {
    if (!started.has_value()) {
      LOG(ERROR) << "scheduler: " << base::Describe(started.error());
      return process::exit_code::kFailed;
    }
  }
  manager.Start();
  LOG(INFO) << "scheduler: " << settings.instance << " listening on "
            << settings::ToString(settings.listen) << ".";
  process::WaitForStopSignal();
  stopping = true;
  server.Stop();
  manager.Stop();
  configured.Stop();
  status.Stop();
  LOG(INFO) << "scheduler: stopped.";
  return process::exit_code::kOk;
}

}  // namespace
}  // namespace chivecrank

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("chivecrank_scheduler",
                      "Owns shards of workers and leads their tasks.", argc,
                      argv);
  scheduler_settings settings;
  return process::RunDaemon(
      [&](settings::section& root) { settings = ReadSchedulerSettings(root); },
      [&] { return Run(settings); });
}
