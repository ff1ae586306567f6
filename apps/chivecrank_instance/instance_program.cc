#include "instance_program.h"

#include <utility>

#include "chivecrank/adapter/discovery.h"

namespace chivecrank::apps {
namespace {

/// Longest wait of the loop, and so for a signal.
constexpr std::chrono::milliseconds kLongestWait{200};
/// After SIGTERM callers are served for so long: the balancer needs two
/// questions, a second apart, to send no more, and connections on their way
/// arrive later.
constexpr std::chrono::milliseconds kServeAfterStop{3000};
/// Whatever is still open then is cut off.
constexpr std::chrono::milliseconds kLongestStop{5200};

runtime::worker_source Workers() {
  return {std::string(adapter::kWorkersPrefix), &adapter::DecodeWorker};
}

runtime::configuration_source Configuration() {
  return {std::string(adapter::kOperatorPrefix),
          std::string(adapter::kConfigurationKey),
          &adapter::DecodeConfiguration, &adapter::DecodeDrainKey};
}

}  // namespace

instance_program::instance_program(instance_settings settings)
    : settings_(std::move(settings)),
      clock_(system_clock_, {}),
      loop_(clock_),
      log_(clock_,
           settings_.runtime.driver.node,
           {},
           event_log::StandardOutput()),
      store_(loop_, settings_.store),
      workers_(loop_),
      permits_(loop_, settings_.permits),
      runtime_(loop_,
               clock_,
               store_,
               workers_,
               permits_,
               log_,
               settings_.runtime,
               Workers(),
               Configuration()),
      api_(loop_, runtime_.Intake(), [this] { return runtime_.Queues(); }),
      callers_(loop_,
               {},
               [this](const http::request& request, reactor::responder answer) {
                 api_.Handle(request, std::move(answer));
               }),
      readiness_(loop_, {}, adapter::ReadinessHandler([this] {
                   return runtime_.IsReady();
                 })),
      metrics_(loop_, {}, adapter::MetricsHandler([this] {
                 return Metrics();
               })) {}

process::exit_code instance_program::Run() {
  log_.Write("start", {{"callers", settings::ToString(settings_.callers)},
                       {"store", settings::ToString(settings_.store)}});
  if (!Listen()) {
    log_.Flush();
    return process::exit_code::kFailed;
  }
  runtime_.Start();
  Loop();
  log_.Write("stop", {{"in_flight", callers_.InFlight()}});
  log_.Flush();
  return process::exit_code::kOk;
}

bool instance_program::Listen() {
  const auto callers = callers_.Start(settings_.callers);
  const auto readiness = readiness_.Start(settings_.readiness);
  const auto metrics = metrics_.Start(settings_.metrics);
  if (!callers)
    log_.Write("listen_failed", {{"error", callers.error().message}});
  if (!readiness)
    log_.Write("listen_failed", {{"error", readiness.error().message}});
  if (!metrics)
    log_.Write("listen_failed", {{"error", metrics.error().message}});
  return callers && readiness && metrics;
}

void instance_program::Loop() {
  while (!MayExit()) {
    loop_.RunOnce(kLongestWait);
    if (signals_.StopWanted() && !stopping_)
      BeginStop();
    if (signals_.TakeReload())
      log_.Write("reload", {{"changed", false}});
    log_.Flush();
  }
}

void instance_program::BeginStop() {
  stopping_ = true;
  stop_began_ = loop_.Now();
  log_.Write("stopping", {{"in_flight", callers_.InFlight()}});
  callers_.Drain();
  runtime_.Stop([this] { released_ = true; });
}

bool instance_program::MayExit() const {
  if (!stopping_)
    return false;
  const base::duration since = loop_.Now() - stop_began_;
  if (since >= kLongestStop)
    return true;
  return released_ && since >= kServeAfterStop && callers_.InFlight() == 0;
}

std::string instance_program::Metrics() {
  runtime::instance_metrics& metrics = runtime_.Metrics();
  const adapter::store_call_counts& store = store_.Counts();
  metrics.SetTotal("store_reads", store.reads);
  metrics.SetTotal("store_writes", store.writes);
  metrics.SetTotal("store_renewals", store.renewals);
  metrics.SetTotal("store_failures", store.failures);
  const adapter::worker_call_counts& workers = workers_.Counts();
  metrics.SetTotal("worker_looks", workers.polls);
  metrics.SetTotal("worker_starts", workers.starts);
  metrics.SetTotal("worker_stops", workers.stops);
  metrics.SetTotal("worker_throttles", workers.throttles);
  metrics.SetTotal("worker_connections", workers_.Opened());
  return metrics.Text();
}

}  // namespace chivecrank::apps
