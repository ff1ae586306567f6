#include <Poco/UUIDGenerator.h>
#include <glog/logging.h>

#include <atomic>

#include "chivecrank/base/system_clock.h"
#include "chivecrank/callers/caller_api.h"
#include "chivecrank/configuration/drained_instance_list.h"
#include "chivecrank/configuration/replica.h"
#include "chivecrank/coordination/cached_instance_list.h"
#include "chivecrank/coordination/http_instance_list.h"
#include "chivecrank/coordination/http_store.h"
#include "chivecrank/coordination/resilient_store.h"
#include "chivecrank/entries/entry_server.h"
#include "chivecrank/entries/slot_exchanger.h"
#include "chivecrank/entries/slot_metrics.h"
#include "chivecrank/entries/slot_pool.h"
#include "chivecrank/http/server.h"
#include "chivecrank/idempotency/home_router.h"
#include "chivecrank/instances/entry_client.h"
#include "chivecrank/instances/entry_server.h"
#include "chivecrank/instances/scheduler_client.h"
#include "chivecrank/objectives/request_metrics.h"
#include "chivecrank/process/program.h"
#include "chivecrank/process/status_server.h"
#include "chivecrank/process/stop_signal.h"
#include "chivecrank/upstreams/http_upstream_client.h"
#include "entry_settings.h"
#include "upstream_prober.h"
#include "upstream_refresher.h"

namespace chivecrank {
namespace {

constexpr std::chrono::milliseconds kProbeTimeout{300};
/// Longest time for giving borrowed slots back on a planned stop.
constexpr std::chrono::milliseconds kReturnTime{1000};

bool Probe(upstreams::upstream_client& client,
           const coordination::instance& upstream) {
  return client.Send(upstream.service, {"GET", "/probe", {}, ""}, kProbeTimeout)
      .has_value();
}

/// Longest time for a call to another entry.
constexpr std::chrono::milliseconds kPeerTimeout{300};
/// Longest time to tell other entries how requests ended before stopping.
constexpr std::chrono::milliseconds kReportLimit{2000};

std::string NewRun() {
  return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

process::readiness Readiness(bool stopping,
                             const configuration::view& configured,
                             const upstream_refresher& refresher,
                             const entries::slot_pool& slots) {
  if (stopping)
    return {false, "stopping"};
  const auto current = configured.Current();
  if (!current)
    return {false, "the configuration is not known yet"};
  if (!refresher.HasList())
    return {false, "the instance list is not known yet"};
  if (!slots.IsUsable())
    return {false, "slots may still be busy for an earlier process"};
  return {true, "", current->revision};
}

process::exit_code Run(const entry_settings& settings) {
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
  configuration::replica configured(
      configuration::MakeReplicaSettings(
          settings.instance, settings.failure_domain,
          membership::daemon::kEntry, settings.listen.host, settings.peers),
      clock, store, instances, *registry);
  instances::scheduler_client jobs(settings.scheduler,
                                   settings.scheduler_timeout);
  upstreams::http_upstream_client upstreams;
  entries::slot_pool slots(clock, settings.share, {settings.sharing, {}}, true);
  entries::slot_exchanger sharer(clock, slots, settings.places,
                                 settings.share.index, settings.peer_timeout);
  entries::entry_server peers(
      settings.places[static_cast<std::size_t>(settings.share.index)], slots);
  callers::request_service requests(clock, slots, upstreams);
  const idempotency::entry_identity self{settings.instance, NewRun()};
  instances::entry_client homes_client(kPeerTimeout);
  idempotency::home_manager homes(self, settings.homes, clock, store,
                                  homes_client);
  idempotency::home_router gate(self, settings.homes, clock, homes,
                                homes_client);
  instances::entry_server peer_server(settings.peer, homes);
  callers::once_service once(clock, requests, gate);
  objectives::request_metrics metrics(*registry);
  entries::slot_metrics slot_gauges(*registry);
  callers::caller_api api(
      clock, configured, once, jobs,
      [&](const auto& answered) { metrics.Observe(answered); });
  configuration::drained_instance_list drained(instances, configured);
  upstream_refresher refresher(clock, drained, settings.refresh,
                               [&](const auto& listed) {
                                 slots.Update(listed);
                                 homes.Update(listed);
                               });
  upstream_prober prober(
      clock, slots,
      [&](const auto& upstream) { return Probe(upstreams, upstream); },
      [&](const auto& totals) { slot_gauges.Export(totals); });
  std::atomic<bool> stopping = false;

  http::server server(
      settings.listen, settings.limits,
      [&](const http::request& message) { return api.Answer(message); });
  process::status_server status(settings.status, registry, [&] {
    return Readiness(stopping, configured, refresher, slots);
  });
  for (const auto& started :
       {status.Start(), peers.Start(), peer_server.Start(), server.Start(),
        configured.Start()}) {
    if (!started.has_value()) {
      LOG(ERROR) << "entry: " << base::Describe(started.error());
      return process::exit_code::kFailed;
    }
  }
  refresher.Start();
  sharer.Start();
  prober.Start();
  homes.Start();
  LOG(INFO) << "entry: " << settings.instance << " listening on "
            << settings::ToString(settings.listen) << ".";
  process::WaitForStopSignal();
  stopping = true;
  server.Drain();
  // The balancer sees "not ready" and sends nothing new before the port shuts.
  clock.SleepUntil(clock.Now() + settings.drain);
  server.Stop();
  prober.Stop();
  slots.ReturnBorrowed(kReturnTime);
  sharer.Stop();
  peers.Stop();
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
