#ifndef CHIVECRANK_IDEMPOTENCY_HOME_MANAGER_H_
#define CHIVECRANK_IDEMPOTENCY_HOME_MANAGER_H_

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/coordination/store.h"
#include "chivecrank/idempotency/home_client.h"
#include "chivecrank/idempotency/partition_home.h"

namespace chivecrank::idempotency {

/// Identity of this entry.
struct entry_identity {
  /// Identifier in the platform's instance list.
  std::string instance;
  /// Identifies this process; no other process ever has the same value.
  std::string run;
};

/// Home of a partition as far as this entry knows: local, at another entry, or
/// neither while no entry is the home yet.
struct home_location {
  std::shared_ptr<partition_home> local;
  std::string instance;
  std::optional<settings::endpoint> entry;
};

/// Opens, closes and hands over this entry's partition homes. Rendezvous
/// hashing over the entries that answer pings proposes one entry as the home of
/// each partition. Thread-safe.
class home_manager final : public home_service {
 public:
  home_manager(entry_identity self,
               home_settings settings,
               base::clock& clock,
               coordination::store& store,
               home_client& peers);
  ~home_manager() override;
  home_manager(const home_manager&) = delete;
  home_manager& operator=(const home_manager&) = delete;

  void Start();
  /// Hands over all homes and claims no others.
  void Stop();

  /// Replaces the platform's instance list.
  void Update(const std::vector<coordination::instance>& listed);

  home_location Locate(partition_id number) const;

  base::result<decision> Begin(const arrival& request,
                               time_limits limits) override;
  base::result<void> Finish(const log_entry& outcome) override;
  base::result<key_report> Describe(const std::string& request_id) override;

 private:
  void MaintainHomes();
  void MaintainHome(partition_id number);
  void Claim(partition_id number);
  bool MayClaim(partition_id number);
  void MonitorPeers();
  void Ping(const std::string& instance, const settings::endpoint& entry);
  /// The entries that answer pings. `mutex_` must be held.
  std::vector<std::string> AnsweringEntries() const;
  std::string ProposedHome(partition_id number) const;
  std::shared_ptr<partition_home> HomeOf(std::string_view request_id) const;

  const entry_identity self_;
  const home_settings settings_;
  base::clock& clock_;
  coordination::store& store_;
  home_client& peers_;
  mutable std::mutex mutex_;
  std::map<std::string, settings::endpoint> entries_;
  std::map<std::string, int> missed_pings_;
  std::array<std::shared_ptr<partition_home>, kPartitions> homes_;
  /// Time since which this entry is proposed as the partition's home. Used only
  /// by the maintenance thread.
  std::array<std::optional<base::time_point>, kPartitions> proposed_since_;
  std::atomic<bool> stopping_ = false;
  std::thread maintenance_thread_;
  std::thread ping_thread_;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_HOME_MANAGER_H_
