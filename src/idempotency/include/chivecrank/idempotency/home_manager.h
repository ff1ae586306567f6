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

/// Which entry this is.
struct entry_identity {
  /// Identifier in the platform's instance list.
  std::string instance;
  /// Names this process; no other one has the same.
  std::string run;
};

/// Where the home of a partition is thought to be: here, at another entry, or
/// nowhere yet.
struct home_location {
  std::shared_ptr<partition_home> local;
  std::string instance;
  std::optional<settings::endpoint> entry;
};

/// Keeps the homes that rendezvous hashing over the entries that answer
/// proposes for this one, and hands them over when that changes. Safe to use
/// from several threads.
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
  /// Hands all homes over and takes no others.
  void Stop();

  /// Takes over the platform's instance list.
  void Update(const std::vector<coordination::instance>& listed);

  home_location Locate(partition_id number) const;

  base::result<decision> Begin(const arrival& request,
                               time_limits limits) override;
  base::result<void> Finish(const log_entry& ended) override;
  base::result<key_report> Describe(const std::string& request_id) override;

 private:
  void KeepHomes();
  void KeepHome(partition_id number);
  void Claim(partition_id number);
  bool MayClaim(partition_id number);
  void WatchPeers();
  void Ping(const std::string& instance, const settings::endpoint& entry);
  /// The entries that answer; `mutex_` is held.
  std::vector<std::string> Answering() const;
  std::string Proposed(partition_id number) const;
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
  /// Since when a partition is proposed for this entry; used by one thread.
  std::array<std::optional<base::time_point>, kPartitions> wanted_since_;
  std::atomic<bool> stopping_ = false;
  std::thread keeping_;
  std::thread watching_;
};

}  // namespace chivecrank::idempotency

#endif  // CHIVECRANK_IDEMPOTENCY_HOME_MANAGER_H_
