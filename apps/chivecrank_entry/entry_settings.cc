#include "entry_settings.h"

#include "chivecrank/membership/peer_settings.h"

namespace chivecrank {
namespace {

constexpr settings::integer_range kTimeoutMilliseconds{10, 60'000};
constexpr settings::integer_range kDrainMilliseconds{0, 60'000};
constexpr settings::integer_range kRememberMilliseconds{60'000, 86'400'000};
constexpr settings::integer_range kEntries{1, 1000};
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
  settings::section platform = root.Table("platform");
  read.platform = platform.Endpoint("address");
  read.store_timeout = platform.MillisecondsOr(
      "timeout_ms", kTimeoutMilliseconds, read.store_timeout);
  read.refresh =
      platform.MillisecondsOr("refresh_ms", kTimeoutMilliseconds, read.refresh);
  settings::section scheduler = root.Table("scheduler");
  read.scheduler = scheduler.Endpoint("address");
  read.scheduler_timeout = scheduler.MillisecondsOr(
      "timeout_ms", kTimeoutMilliseconds, read.scheduler_timeout);
  settings::section share = root.Table("share");
  read.share.count = share.Integer("entries", kEntries);
  read.share.index = share.Integer("index", kEntryIndex);
  if (read.share.index >= read.share.count)
    share.Reject("index", "is not below entries",
                 "number the entries from 0 to entries - 1");
  ReadLimits(root, read.limits);
  settings::section requests = root.TableOr("requests");
  read.homes.retention = requests.MillisecondsOr(
      "remember_ms", kRememberMilliseconds, read.homes.retention);
  read.drain = root.MillisecondsOr("drain_ms", kDrainMilliseconds, read.drain);
  return read;
}

}  // namespace chivecrank
