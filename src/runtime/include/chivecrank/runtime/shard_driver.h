#ifndef CHIVECRANK_RUNTIME_SHARD_DRIVER_H_
#define CHIVECRANK_RUNTIME_SHARD_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/protocol/types.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/driver_settings.h"
#include "chivecrank/runtime/instance_metrics.h"
#include "chivecrank/runtime/ownership.h"
#include "chivecrank/runtime/prefix_listing.h"
#include "chivecrank/runtime/replica.h"
#include "chivecrank/runtime/shard_housekeeping.h"
#include "chivecrank/runtime/shard_journal.h"
#include "chivecrank/runtime/shard_tenure.h"
#include "chivecrank/runtime/shard_wait_log.h"
#include "chivecrank/runtime/status_publisher.h"
#include "chivecrank/runtime/worker_polls.h"
#include "chivecrank/runtime/worker_witnesses.h"
#include "chivecrank/submissions/permit_service.h"
#include "chivecrank/submissions/queue_table.h"
#include "chivecrank/submissions/shard_scheduler.h"
#include "chivecrank/submissions/worker_gateway.h"

namespace chivecrank::runtime {

/// What an earlier ownership of this process knew when it ended.
struct earlier_ownership {
  metadata::revision fence = 0;
  submissions::lease_expiries leases;
};

/// Runs one shard that this instance owns: restores its state, polls its
/// workers, commits the scheduler's decisions and sends the commands. All calls
/// happen on the event loop's thread.
class shard_driver {
 public:
  struct hooks {
    /// What the owner may do; called before every command and poll.
    std::function<protocol::authority()> authority;
    /// Whether the list of workers shows which of them leave; called before
    /// decisions and starts.
    std::function<bool()> are_workers_current;
    /// The store or a worker has seen a newer owner.
    std::function<void(std::string_view reason)> on_fenced;
  };

  shard_driver(reactor::event_loop& loop,
               base::clock& clock,
               metadata::store& store,
               submissions::worker_gateway& gateway,
               submissions::permit_service& permits,
               const replica& shared,
               event_log::event_log& log,
               instance_metrics& metrics,
               std::uint32_t shard,
               const acquisition& acquired,
               earlier_ownership earlier,
               driver_settings settings,
               hooks handlers);

  /// Starts once the replica has reached the revision at which the shard was
  /// acquired.
  void Start();
  void OnAccepted(const std::string& id);
  void OnEnded(const std::string& id);
  void OnMovedAway(const std::string& id);
  /// The store holds another status of the shard.
  void OnStatusStored() { publisher_.OnStored(); }
  void SetQueues(const submissions::queue_table& queues);
  void SetWorkers(std::vector<submissions::worker_description> workers);
  /// Sets the failure domains that operators have drained.
  void SetDrainedDomains(const std::set<std::string>& domains);
  /// The drained domains are complete as of this time.
  void ConfirmDrains(base::time_point as_of) {
    scheduler_.ConfirmDrains(as_of);
  }
  std::vector<submissions::domain_drain> Drains() const {
    return scheduler_.Drains();
  }
  bool IsRestored() const { return restored_; }
  /// What this process knows as the shard's owner, for its next ownership.
  earlier_ownership Knowledge() const;
  submissions::awaited_runs AwaitedRuns() const {
    return scheduler_.AwaitedRuns(loop_.Now());
  }

 private:
  bool HasFullAuthority() const {
    return hooks_.authority() == protocol::authority::kFull;
  }
  bool MayDecide() const {
    return HasFullAuthority() && hooks_.are_workers_current();
  }
  void WaitForReplica();
  /// When runs that earlier owners left are over, if nothing more is learned.
  base::time_point EarlierLeasesEnd() const;
  /// Ends polls and connections of workers that aren't listed any more and have
  /// no runs, and of those whose entry is that of another incarnation.
  void Disconnect(
      const std::map<std::string, submissions::worker_description>& listed);
  /// Whether calls to `known` can't reach the worker as it is listed now.
  bool IsReplaced(const submissions::worker_description& known,
                  const submissions::worker_description& listed) const;
  void SetWitnesses();
  /// Restricts the leases of earlier owners once most workers follow this one.
  void ConsiderWitnesses();
  /// The longest lease that may be granted now; 0 for none.
  std::chrono::milliseconds GrantableLease() const;
  void ReadJournal();
  void Restore(const std::vector<metadata::item>& journal);
  /// Adds the workers that have runs of earlier owners and aren't listed.
  void AddUnlistedWorkers();
  void Accept(const std::string& id, const known_submission& known);

  void ScheduleDecision();
  void DecidePeriodically();
  void LogWaits();
  /// The shard's status, without what the publisher adds.
  shard_status CurrentStatus() const;
  void SendCommands();
  void SendStart(const submissions::start_command& command);
  void SendStop(const submissions::stop_command& command);
  void SendPermitRequest(const submissions::permit_request& request);
  void SendThrottle(const submissions::throttle_command& command);

  void PollWorker(const std::string& worker);
  void OnPoll(const std::string& worker,
              std::uint64_t number,
              base::time_point requested_at,
              base::result<submissions::worker_report> report);

  /// A worker follows a higher fence: gives the shard up, unless the store says
  /// that this instance owns it. The worker then follows an owner of something
  /// else, and is left alone.
  void CheckOwnership(const std::string& refused_by);

  void OnEvent(const submissions::scheduler_event& event);
  /// The header of a command to a worker that carries a lease only if it needs
  /// one.
  submissions::command_header CommandHeader(
      const std::string& worker,
      std::chrono::milliseconds lease = std::chrono::milliseconds(0)) const;
  const submissions::worker_description* FindWorker(
      const std::string& id) const;

  reactor::event_loop& loop_;
  base::clock& clock_;
  metadata::store& store_;
  submissions::worker_gateway& gateway_;
  submissions::permit_service& permits_;
  const replica& shared_;
  event_log::event_log& log_;
  instance_metrics& metrics_;
  const std::uint32_t shard_;
  const acquisition acquired_;
  const earlier_ownership earlier_;
  const metadata::revision fence_;
  const driver_settings settings_;
  const hooks hooks_;
  const base::time_point created_at_;
  submissions::shard_scheduler scheduler_;
  shard_housekeeping housekeeping_;
  shard_journal journal_;
  shard_tenure tenure_;
  status_publisher publisher_;
  const lease_horizon horizon_;
  worker_witnesses witnesses_;
  /// Since when most workers follow this owner; unset before.
  std::optional<base::time_point> witnessed_at_;
  /// The newest tenure of the owners before this one.
  std::optional<known_tenure> earlier_tenure_;
  bool earlier_owners_ended_ = false;
  /// `earlier_` was the last ownership before this one.
  bool was_last_owner_ = false;
  std::map<std::string, submissions::worker_description> workers_;
  worker_polls polls_;
  shard_wait_log wait_log_;
  bool restored_ = false;
  bool decision_due_ = false;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SHARD_DRIVER_H_
