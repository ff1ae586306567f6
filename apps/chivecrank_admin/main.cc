#include <Poco/UUIDGenerator.h>
#include <glog/logging.h>

#include <atomic>

#include "admin_settings.h"
#include "chivecrank/base/system_clock.h"
#include "chivecrank/configuration/replica.h"
#include "chivecrank/configuration/repository.h"
#include "chivecrank/coordination/cached_instance_list.h"
#include "chivecrank/coordination/http_instance_list.h"
#include "chivecrank/coordination/http_store.h"
#include "chivecrank/coordination/resilient_store.h"
#include "chivecrank/http/server.h"
#include "chivecrank/instances/scheduler_client.h"
#include "chivecrank/operators/admin_api.h"
#include "chivecrank/ownership/shard_registry.h"
#include "chivecrank/process/program.h"
#include "chivecrank/process/status_server.h"
#include "chivecrank/process/stop_signal.h"

namespace chivecrank {
namespace {

std::string NewWriteId() {
  return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

process::readiness Readiness(bool stopping,
                             const configuration::view& configured) {
  if (stopping)
    return {false, "stopping"};
  if (!configured.Current())
    return {false, "the configuration is not known yet"};
  return {true, ""};
}

base::result<std::vector<ownership::owner>> ReadOwners(
    coordination::store& store) {
  BOOST_OUTCOME_TRY(all, ownership::shard_registry(store).ListOwners());
  return all.owners;
}

/// Asks the first scheduler that answers; it passes the call on to the owner.
base::result<instances::job_report> DescribeJob(
    coordination::instance_list& listed,
    const instances::job_reference& job,
    std::chrono::milliseconds timeout) {
  BOOST_OUTCOME_TRY(all, listed.List());
  base::error last{base::error_kind::kUnavailable, "no scheduler is listed",
                   "try again later"};
  for (const coordination::instance& one : all) {
    if (one.kind != coordination::instance_kind::kSystem)
      continue;
    instances::scheduler_client scheduler(one.scheduler, timeout);
    auto report = scheduler.Describe(job, instances::call_origin::kEntry);
    if (report.has_value() ||
        report.error().kind == base::error_kind::kNotFound) {
      return report;
    }
    last = report.error();
  }
  return last;
}

process::exit_code Run(const admin_settings& settings) {
  base::system_clock clock;
  const auto registry = std::make_shared<prometheus::Registry>();
  coordination::http_store store_calls(settings.platform,
                                       settings.store_timeout);
  coordination::store_metrics store_metrics(*registry);
  coordination::resilient_store store(store_calls, clock, store_metrics,
                                      settings.guard);
  configuration::repository accepted(store, clock, NewWriteId);
  const operators::operator_directory directory(settings.operators);
  coordination::http_instance_list list_calls(settings.platform,
                                              settings.store_timeout);
  coordination::cached_instance_list listed(list_calls, clock,
                                            settings.list_age);
  configuration::replica configured(
      configuration::MakeReplicaSettings(
          settings.instance, settings.failure_domain,
          membership::daemon::kAdmin, settings.listen.host, settings.peers),
      clock, store, listed, *registry);
  const operators::fleet_api fleet(listed, configured,
                                   {[&] { return configured.QueryFleet(); },
                                    [&] { return ReadOwners(store); },
                                    [&](const instances::job_reference& job) {
                                      return DescribeJob(
                                          listed, job, settings.store_timeout);
                                    }});
  operators::admin_api api(accepted, directory, fleet,
                           [&](const configuration::snapshot& newest) {
                             configured.Publish(newest);
                           });
  std::atomic<bool> stopping = false;

  http::server server(settings.listen, {}, [&](const http::request& message) {
    return api.Answer(message);
  });
  process::status_server status(settings.status, registry, [&] {
    return Readiness(stopping, configured);
  });
  for (const auto& started :
       {status.Start(), server.Start(), configured.Start()}) {
    if (!started.has_value()) {
      LOG(ERROR) << "admin: " << base::Describe(started.error());
      return process::exit_code::kFailed;
    }
  }
  LOG(INFO) << "admin: listening on " << settings::ToString(settings.listen)
            << ".";
  process::WaitForStopSignal();
  stopping = true;
  server.Stop();
  configured.Stop();
  status.Stop();
  LOG(INFO) << "admin: stopped.";
  return process::exit_code::kOk;
}

}  // namespace
}  // namespace chivecrank

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("chivecrank_admin",
                      "Serves the administration API of chivecrank.", argc,
                      argv);
  admin_settings settings;
  return process::RunDaemon(
      [&](settings::section& root) { settings = ReadAdminSettings(root); },
      [&] { return Run(settings); });
}
