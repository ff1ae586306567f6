#include "chivecrank/membership/gossip.h"

#include <boost/test/unit_test.hpp>
#include <memory>

#include "chivecrank/base/manual_clock.h"

namespace chivecrank::membership {
namespace {

/// A document whose text is its version number.
class version_document final : public shared_document {
 public:
  std::uint64_t Version() const override { return version; }
  std::uint64_t ActiveVersion() const override { return version; }
  std::string Text() const override { return std::to_string(version); }
  base::result<void> ApplyText(const std::string& text) override {
    version = std::max<std::uint64_t>(version, std::stoull(text));
    return base::Success();
  }
  base::time_point ConfirmedAt() const override { return confirmed; }
  void RecordConfirmation(std::uint64_t, base::time_point at) override {
    confirmed = std::max(confirmed, at);
  }

  std::uint64_t version = 0;
  base::time_point confirmed;
};

/// Connects gossip objects in memory. The network can be partitioned into two
/// halves, and one process can be down.
class memory_network final : public transport {
 public:
  base::result<digest> Exchange(const settings::endpoint& to,
                                const digest& mine) override {
    ++exchanges;
    if (!Reaches(mine.address, to))
      return base::error{base::error_kind::kUnavailable, "cut", ""};
    return handlers[to.port]->OnExchange(mine);
  }
  base::result<std::string> Fetch(const settings::endpoint& from,
                                  std::uint64_t version) override {
    return handlers[from.port]->OnFetch(version);
  }
  base::result<bool> Relay(const settings::endpoint& through,
                           const settings::endpoint& target) override {
    return Reaches(through, target);
  }

  bool Reaches(const settings::endpoint& from, const settings::endpoint& to) {
    const bool other_half = (from.port < half) != (to.port < half);
    return to.port != down && from.port != down && !(cut && other_half);
  }

  std::map<std::uint16_t, peer_handler*> handlers;
  int exchanges = 0;
  std::uint16_t half = 0;
  std::uint16_t down = 0;
  bool cut = false;
};

struct fleet {
  explicit fleet(int size) {
    for (int i = 1; i <= size; ++i) {
      peers.push_back(MakePeer("i-" + std::to_string(100 + i), "viti-suva",
                               daemon::kScheduler,
                               {"127.0.0.1", static_cast<std::uint16_t>(i)}));
    }
    network.half = static_cast<std::uint16_t>(size / 2 + 1);
    for (const peer& self : peers) {
      documents.push_back(std::make_unique<version_document>());
      gossip_settings settings;
      settings.seed = self.address.port;
      nodes.push_back(std::make_unique<gossip>(
          self, 1, settings, clock, network, *documents.back(),
          [this]() -> base::result<std::vector<peer>> { return peers; }));
      network.handlers[self.address.port] = nodes.back().get();
      nodes.back()->RefreshPeers();
    }
  }

  void Run(std::chrono::milliseconds time) {
    constexpr std::chrono::milliseconds step{25};
    for (std::chrono::milliseconds passed{0}; passed < time; passed += step) {
      for (const auto& node : nodes)
        node->RunOnce();
      clock.Advance(step);
    }
  }

  std::size_t CountHolders(std::uint64_t version) const {
    std::size_t count = 0;
    for (const auto& document : documents)
      count += document->version >= version ? 1 : 0;
    return count;
  }

  std::size_t CountWithStatus(std::size_t node, member_status status) const {
    std::size_t count = 0;
    for (const member& known : nodes[node]->Members())
      count += known.status == status ? 1 : 0;
    return count;
  }

  base::manual_clock clock;
  memory_network network;
  std::vector<peer> peers;
  std::vector<std::unique_ptr<version_document>> documents;
  std::vector<std::unique_ptr<gossip>> nodes;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(gossip_suite)

BOOST_AUTO_TEST_CASE(PushReachesEveryProcessWithinThreeSecondsAtAnyFleetSize) {
  for (const int size : {7, 60, 300}) {
    fleet all(size);
    all.documents[0]->version = 5;
    all.nodes[0]->Push();
    all.Run(std::chrono::seconds(3));
    BOOST_TEST(all.CountHolders(5) == static_cast<std::size_t>(size));
  }
}

BOOST_AUTO_TEST_CASE(PartitionedHalvesAgreeOnTheHigherVersionAfterRejoining) {
  fleet all(20);
  all.network.cut = true;
  all.documents[0]->version = 5;
  all.nodes[0]->Push();
  all.documents[19]->version = 4;
  all.nodes[19]->Push();
  all.Run(std::chrono::seconds(20));
  BOOST_TEST(all.CountHolders(5) == 10);
  BOOST_TEST(all.CountHolders(4) == 20);
  BOOST_TEST(all.CountWithStatus(0, member_status::kDead) == 10);
  all.network.cut = false;
  all.Run(std::chrono::seconds(30));
  BOOST_TEST(all.CountHolders(5) == 20);
  BOOST_TEST(all.CountWithStatus(0, member_status::kLive) == 19);
}

BOOST_AUTO_TEST_CASE(UnreachableMemberIsDeclaredDeadAndIsLiveAfterItReturns) {
  fleet all(30);
  all.Run(std::chrono::seconds(2));
  all.network.down = 7;
  all.Run(std::chrono::seconds(12));
  for (std::size_t node = 0; node < all.nodes.size(); ++node) {
    if (node != 6)
      BOOST_TEST(all.CountWithStatus(node, member_status::kDead) == 1);
  }
  all.network.down = 0;
  all.Run(std::chrono::seconds(30));
  BOOST_TEST(all.CountWithStatus(0, member_status::kLive) == 29);
}

BOOST_AUTO_TEST_CASE(ExchangesPerProcessDoNotGrowWithTheFleetSize) {
  for (const int size : {7, 60, 300}) {
    fleet all(size);
    all.Run(std::chrono::seconds(10));
    BOOST_TEST(all.network.exchanges <= size * 24);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::membership
