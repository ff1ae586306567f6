#include <Poco/UUIDGenerator.h>
#include <glog/logging.h>

#include <atomic>

#include "chivecrank/base/system_clock.h"
#include "chivecrank/callers/caller_api.h"
#include "chivecrank/configuration/replica.h"
#include "chivecrank/http/server.h"
#include "chivecrank/idempotency/home_router.h"
#include "chivecrank/instances/entry_client.h"
#include "chivecrank/instances/entry_server.h"
#include "chivecrank/instances/scheduler_client.h"
#include "chivecrank/objectives/request_metrics.h"
#include "chivecrank/platform/cached_instance_list.h"
#include "chivecrank/platform/http_instance_list.h"
#include "chivecrank/platform/http_store.h"
#include "chivecrank/process/program.h"
#include "chivecrank/process/status_server.h"
#include "chivecrank/process/stop_signal.h"
#include "chivecrank/upstreams/http_upstream_client.h"
#include "entry_settings.h"
#include "upstream_refresher.h"

namespace chivecrank {
namespace {

/// Longest time for a call to another entry.
constexpr std::chrono::milliseconds kPeerTimeout{300};
/// Longest time to tell other entries how requests ended before stopping.
constexpr std::chrono::milliseconds kReportLimit{2000};

std::string NewRun() {
  return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

process::readiness Readiness(bool stopping,
                             const configuration::view& configured,
                             const upstream_refresher& refresher) {
  if (stopping)
    return {false, "stopping"};
  const auto current = configured.Current();
  if (!current)
    return {false, "the configuration is not known yet"};
  if (!refresher.HasList())
    return {false, "the instance list is not known yet"};
  return {true, "", current->revision};
}

process::exit_code Run(const entry_settings& settings) {
  base::system_clock clock;
  platform::http_store store(settings.platform, settings.store_timeout);
  platform::http_instance_list list_calls(settings.platform,
                                          settings.store_timeout);
  platform::cached_instance_list instances(list_calls, clock,
                                           settings.list_age);
  configuration::replica configured(
      configuration::MakeReplicaSettings(
          settings.instance, settings.failure_domain,
          membership::daemon::kEntry, settings.listen.host, settings.peers),
      clock, store, instances);
  instances::scheduler_client jobs(settings.scheduler,
                                   settings.scheduler_timeout);
  upstreams::http_upstream_client upstreams;
  callers::request_service requests(clock, settings.share, upstreams);
  const idempotency::entry_identity self{settings.instance, NewRun()};
  instances::entry_client peers(kPeerTimeout);
  idempotency::home_keeper homes(self, settings.homes, clock, store, peers);
  idempotency::home_router gate(self, settings.homes, clock, homes, peers);
  instances::entry_server peer_server(settings.peer, homes);
  callers::once_service once(clock, requests, gate);
  const auto registry = std::make_shared<prometheus::Registry>();
  objectives::request_metrics metrics(*registry);
  callers::caller_api api(
      clock, configured, once, jobs,
      [&](const auto& answered) { metrics.Observe(answered); });
  upstream_refresher refresher(clock, instances, settings.refresh,
                               [&](const auto& listed) {
                                 requests.UpdateUpstreams(listed);
                                 homes.Update(listed);
                               });
  std::atomic<bool> stopping = false;

  http::server server(
      settings.listen, settings.limits,
      [&](const http::request& message) { return api.Answer(message); });
  process::status_server status(settings.status, registry, [&] {
    return Readiness(stopping, configured, refresher);
  });
  for (const auto& started : {status.Start(), peer_server.Start(),
                              server.Start(), configured.Start()}) {
    if (!started.has_value()) {
      LOG(ERROR) << "entry: " << base::Describe(started.error());
      return process::exit_code::kFailed;
    }
  }
  refresher.Start();
  homes.Start();
  LOG(INFO) << "entry: " << settings.instance << " listening on "
            << settings::ToString(settings.listen) << ".";
  process::WaitForStopSignal();
  stopping = true;
  // The balancer sees "not ready" and sends nothing new before the port shuts.
  clock.SleepUntil(clock.Now() + settings.drain);
  server.Stop();
  gate.Stop(kReportLimit);
  homes.Stop();
  peer_server.Stop();
  refresher.Stop();
  configured.Stop();
  status.Stop();
  LOG(INFO) << "entry: stopped.";
  return process::exit_code::kOk;
}

}  // namespace
}  // namespace chivecrank

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("chivecrank_entry",
                      "Admits, routes and answers the requests of callers.",
                      argc, argv);
  entry_settings settings;
  return process::RunDaemon(
      [&](settings::section& root) { settings = ReadEntrySettings(root); },
      [&] { return Run(settings); });
}
