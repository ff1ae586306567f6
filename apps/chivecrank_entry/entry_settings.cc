#include "entry_settings.h"

#include "chivecrank/coordination/resilient_store_settings_reader.h"
#include "chivecrank/membership/peer_settings.h"

namespace chivecrank {
namespace {

constexpr settings::integer_range kTimeoutMilliseconds{10, 60'000};
constexpr settings::integer_range kDrainMilliseconds{0, 60'000};
constexpr settings::integer_range kLeaseMilliseconds{50, 60'000};
constexpr settings::integer_range kRememberMilliseconds{60'000, 86'400'000};
constexpr settings::integer_range kEntryIndex{0, 999};
constexpr settings::integer_range kThreads{4, 2000};
constexpr settings::integer_range kBodyBytes{1024, 64LL << 20};

void ReadLimits(settings::section& root, http::server_limits& limits) {
  settings::section read = root.TableOr("limits");
  limits.threads =
      static_cast<int>(read.IntegerOr("connections", kThreads, limits.threads));
  limits.body_bytes = static_cast<std::size_t>(read.IntegerOr(
      "body_bytes", kBodyBytes, static_cast<std::int64_t>(limits.body_bytes)));
  limits.read_timeout = read.MillisecondsOr(
      "read_timeout_ms", kTimeoutMilliseconds, limits.read_timeout);
  limits.request_timeout = read.MillisecondsOr(
      "request_timeout_ms", kTimeoutMilliseconds, limits.request_timeout);
  if (limits.request_timeout < limits.read_timeout)
    read.Reject("request_timeout_ms", "is shorter than read_timeout_ms",
                "give at least as long as one read may take");
}

void ReadSharingTimes(settings::section& share,
                      routing::sharing_options& sharing) {
  sharing.lease =
      share.MillisecondsOr("lease_ms", kLeaseMilliseconds, sharing.lease);
  sharing.max_request_duration = share.MillisecondsOr(
      "longest_request_ms", kLeaseMilliseconds, sharing.max_request_duration);
  sharing.max_overrun = share.MillisecondsOr("run_limit_ms", kLeaseMilliseconds,
                                             sharing.max_overrun);
  sharing.clock_margin = share.MillisecondsOr(
      "clock_margin_ms", kTimeoutMilliseconds, sharing.clock_margin);
}

void ReadShare(settings::section& root, entry_settings& read) {
  settings::section share = root.Table("share");
  read.share.index = share.Integer("index", kEntryIndex);
  ReadSharingTimes(share, read.sharing);
  read.peer_timeout = share.MillisecondsOr(
      "peer_timeout_ms", kTimeoutMilliseconds, read.peer_timeout);
  for (settings::section& place : share.Tables("entries")) {
    read.share.failure_domains.push_back(place.String("failure_domain"));
    read.places.push_back(place.Endpoint("address"));
  }
  read.share.count = std::ssize(read.places);
  if (read.share.index >= read.share.count) {
    share.Reject("index", "is not below the number of share.entries",
                 "list every entry under share.entries and number them from 0");
    return;
  }
  const std::string& listed =
      read.share.failure_domains[static_cast<std::size_t>(read.share.index)];
  if (listed != read.failure_domain)
    share.Reject("index", "names a place in failure domain " + listed,
                 "give the place that lists this entry");
}

}  // namespace

entry_settings ReadEntrySettings(settings::section& root) {
  entry_settings read;
  read.limits.threads = 256;
  read.instance = root.String("instance");
  read.failure_domain = root.String("failure_domain");
  read.listen = root.Endpoint("listen");
  read.status = root.Endpoint("status");
  read.peer = root.Endpoint("peer");
  if (read.listen.port != 0 && read.listen == read.status)
    root.Reject("status", "is the same address as listen",
                "give the two different ports");
  read.peers = membership::ReadPeerPorts(root);
  settings::section store = root.Table("platform");
  read.platform = store.Endpoint("address");
  read.guard = coordination::ReadResilientStoreSettings(store);
  read.store_timeout = store.MillisecondsOr("timeout_ms", kTimeoutMilliseconds,
                                            read.store_timeout);
  read.refresh =
      store.MillisecondsOr("refresh_ms", kTimeoutMilliseconds, read.refresh);
  settings::section scheduler = root.Table("scheduler");
  read.scheduler = scheduler.Endpoint("address");
  read.scheduler_timeout = scheduler.MillisecondsOr(
      "timeout_ms", kTimeoutMilliseconds, read.scheduler_timeout);
  ReadShare(root, read);
  ReadLimits(root, read.limits);
  settings::section requests = root.TableOr("requests");
  read.homes.retention = requests.MillisecondsOr(
      "remember_ms", kRememberMilliseconds, read.homes.retention);
  read.drain = root.MillisecondsOr("drain_ms", kDrainMilliseconds, read.drain);
  return read;
}

}  // namespace chivecrank
