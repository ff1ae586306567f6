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

/// Rates and bounds of the gossip.
struct gossip_settings {
  /// Mean time between two exchanges that this process begins.
  std::chrono::milliseconds period{500};
  /// How often the instance list is looked at.
  std::chrono::milliseconds list_period{3000};
  /// How often the thread looks whether a peer told of something newer.
  std::chrono::milliseconds poll{25};
  /// Peers that are told at once of a new version.
  std::size_t push_fanout = 4;
  /// Peers asked to try a member that did not answer.
  std::size_t relays = 2;
  /// Seed of the choice of peers.
  std::uint64_t seed = 1;
  member_settings members;
};

/// Talks to a bounded number of peers at a time: spreads the newest version
/// of a document and the statements of a member table. A new version is pushed
/// to a few peers at once; the periodic exchanges mend what pushes missed.
class gossip final : public peer_handler {
 public:
  /// The peers that the instance list shows now.
  using list_source = std::function<base::result<std::vector<peer>>()>;

  gossip(peer self,
         std::uint64_t incarnation,
         gossip_settings settings,
         base::clock& clock,
         transport& calls,
         shared_document& document,
         list_source listed);
  ~gossip() override;
  gossip(const gossip&) = delete;
  gossip& operator=(const gossip&) = delete;

  void Start();
  /// Tells some peers that this process leaves, and stops.
  void Stop();

  /// One pass of the thread that Start begins: fetches what peers told of,
  /// pushes and, when it is time, exchanges.
  void RunOnce();
  /// Takes in the instance list. A second thread does so, since the platform
  /// may keep the call waiting.
  void RefreshList();

  /// Asks for a push of the version held.
  void Push();
  /// Exchanges with up to `count` live peers and fetches what they have newer.
  void Contact(std::size_t count);

  /// Whether this process should watch the store for its failure domain.
  bool IsWatcher() const;
  std::vector<member> Members() const;

  digest OnExchange(const digest& theirs) override;
  base::result<std::string> OnFetch(std::uint64_t version) override;
  bool OnRelay(const settings::endpoint& target) override;

 private:
  void Run();
  void RunList();
  void FetchPending();
  void Beat();
  /// Whether the peer answered.
  bool ExchangeWith(const settings::endpoint& to, const std::string& id);
  void ProbeThroughOthers(const peer& target);
  void FetchFrom(const settings::endpoint& from, std::uint64_t version);
  digest MyDigest(const std::string& about);
  void HearRumors(const digest& theirs);

  const peer self_;
  const gossip_settings settings_;
  base::clock& clock_;
  transport& calls_;
  shared_document& document_;
  const list_source listed_;

  mutable std::mutex mutex_;
  member_table members_;
  std::mt19937_64 random_;
  /// Peers that told of a newer version, with that version.
  std::map<std::string, digest> pending_;

  base::time_point next_beat_;
  std::atomic<bool> push_wanted_ = false;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
  std::thread list_thread_;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_GOSSIP_H_
