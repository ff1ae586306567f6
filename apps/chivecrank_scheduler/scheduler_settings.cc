#include "scheduler_settings.h"

#include "chivecrank/coordination/resilient_store_settings_reader.h"
#include "chivecrank/membership/peer_settings.h"

namespace chivecrank {
namespace {

constexpr settings::integer_range kTimeoutMilliseconds{10, 60'000};
constexpr settings::integer_range kTermMilliseconds{500, 120'000};
constexpr settings::integer_range kMarginMilliseconds{10, 60'000};
constexpr settings::integer_range kRideMilliseconds{0, 3'600'000};
constexpr settings::integer_range kRoundMilliseconds{20, 10'000};

}  // namespace

scheduler_settings ReadSchedulerSettings(settings::section& root) {
  scheduler_settings read;
  read.instance = root.String("instance");
  read.failure_domain = root.String("failure_domain");
  read.listen = root.Endpoint("listen");
  read.status = root.Endpoint("status");
  if (read.listen.port != 0 && read.listen == read.status)
    root.Reject("status", "is the same address as listen",
                "give the two different ports");
  read.peers = membership::ReadPeerPorts(root);
  settings::section store = root.Table("platform");
  read.platform = store.Endpoint("address");
  read.guard = coordination::ReadResilientStoreSettings(store);
  read.store_timeout = store.MillisecondsOr("timeout_ms", kTimeoutMilliseconds,
                                            read.store_timeout);
  settings::section timeouts = root.TableOr("timeouts");
  read.agent_timeout = timeouts.MillisecondsOr("agent_ms", kTimeoutMilliseconds,
                                               read.agent_timeout);
  read.peer_timeout = timeouts.MillisecondsOr("peer_ms", kTimeoutMilliseconds,
                                              read.peer_timeout);
  settings::section leases = root.TableOr("leases");
  read.session.term =
      leases.MillisecondsOr("session_ms", kTermMilliseconds, read.session.term);
  read.session.clock_margin = leases.MillisecondsOr(
      "clock_margin_ms", kMarginMilliseconds, read.session.clock_margin);
  read.shards.task_lease_term = leases.MillisecondsOr(
      "task_ms", kTermMilliseconds, read.shards.task_lease_term);
  read.shards.clock_margin = read.session.clock_margin;
  read.session.outage_grace = leases.MillisecondsOr(
      "ride_ms", kRideMilliseconds, read.session.outage_grace);
  read.shards.outage_grace = read.session.outage_grace;
  read.shards.sync_interval = leases.MillisecondsOr(
      "sync_ms", kRoundMilliseconds, read.shards.sync_interval);
  if (read.session.clock_margin * 2 > read.session.term)
    leases.Reject("clock_margin_ms", "is more than half of session_ms",
                  "give a smaller margin or a longer session");
  read.shards.round_interval = root.MillisecondsOr(
      "round_ms", kRoundMilliseconds, read.shards.round_interval);
  return read;
}

}  // namespace chivecrank
