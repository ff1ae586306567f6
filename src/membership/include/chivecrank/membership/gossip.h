#ifndef CHIVECRANK_MEMBERSHIP_GOSSIP_H_
#define CHIVECRANK_MEMBERSHIP_GOSSIP_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/membership/member_table.h"
#include "chivecrank/membership/shared_document.h"
#include "chivecrank/membership/transport.h"

namespace chivecrank::membership {

struct gossip_settings {
  /// Mean time between two periodic exchanges started by this process.
  std::chrono::milliseconds exchange_period{500};
  /// Time between two reads of the instance list.
  std::chrono::milliseconds list_refresh_period{3000};
  /// How often the thread checks for newer versions announced by peers.
  std::chrono::milliseconds poll_interval{25};
  /// Number of peers that are notified at once of a new version.
  std::size_t push_fanout = 4;
  /// Number of peers asked to probe a member that did not answer.
  std::size_t indirect_probes = 2;
  /// Seed for the random selection of peers.
  std::uint64_t seed = 1;
  member_settings members;
};

/// Spreads the newest version of a document and the rumors of a member table
/// among the processes of the system. Each process contacts a bounded number of
/// peers. A new version is pushed to a few peers at once; periodic exchanges
/// reach the peers that the pushes missed.
class gossip final : public peer_handler {
 public:
  /// Returns the peers on the current instance list.
  using peer_source = std::function<base::result<std::vector<peer>>()>;

  gossip(peer self,
         std::uint64_t incarnation,
         gossip_settings settings,
         base::clock& clock,
         transport& calls,
         shared_document& document,
         peer_source listed);
  ~gossip() override;
  gossip(const gossip&) = delete;
  gossip& operator=(const gossip&) = delete;

  void Start();
  /// Stops the threads and notifies some peers that this process is leaving.
  void Stop();

  /// One iteration of the gossip thread: fetches newer versions announced by
  /// peers, sends a requested push and runs the periodic exchange if it is due.
  void RunOnce();
  /// Updates the members from the instance list. Runs on a thread of its own,
  /// because the call to the platform may block.
  void RefreshPeers();

  /// Requests a push of the current version.
  void Push();
  /// Exchanges digests with up to `count` live peers and fetches newer versions
  /// from them.
  void ExchangeWithLivePeers(std::size_t count);

  /// Whether this process watches the store on behalf of its failure domain.
  bool ShouldWatchStore() const;
  std::vector<member> Members() const;

  digest OnExchange(const digest& theirs) override;
  base::result<std::string> OnFetch(std::uint64_t version) override;
  bool OnRelay(const settings::endpoint& target) override;

 private:
  void Run();
  void RunPeerRefresh();
  void FetchPending();
  void RunPeriodicExchange();
  /// Returns whether the peer answered.
  bool ExchangeWith(const settings::endpoint& to, const std::string& id);
  void ProbeIndirectly(const peer& target);
  void FetchFrom(const settings::endpoint& from, std::uint64_t version);
  digest MakeDigest(const std::string& about);
  void ApplyRumors(const digest& theirs);

  const peer self_;
  const gossip_settings settings_;
  base::clock& clock_;
  transport& transport_;
  shared_document& document_;
  const peer_source list_peers_;

  mutable std::mutex mutex_;
  member_table members_;
  std::mt19937_64 random_;
  /// Digests of peers that announced a newer version, by sender.
  std::map<std::string, digest> pending_;

  base::time_point next_exchange_;
  std::atomic<bool> push_requested_ = false;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
  std::thread refresh_thread_;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_GOSSIP_H_
