#ifndef CHIVECRANK_EMULATOR_EMULATED_STORE_H_
#define CHIVECRANK_EMULATOR_EMULATED_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chivecrank/emulator/emulated_processor.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/event_loop.h"

/// The systems that an instance works with, emulated in one process under a
/// manual clock.
namespace chivecrank::emulator {

/// What is wrong with the store now.
struct store_faults {
  /// No call is answered.
  bool silent = false;
  /// Every call is rejected without effect.
  bool rejecting = false;
  /// Machines that are rejected while the others are served.
  std::set<std::string> rejected_nodes;
  /// Share of the changes that are made and not answered.
  double lost_share = 0;
  /// Answers take so many times as long.
  double slowness = 1;
  /// Leases run out while the store is down.
  bool leases_lapse = false;
  /// How much later a transaction is carried out, if its conditions still hold
  /// then; it gets no answer. Unset: it is carried out at once.
  std::function<std::optional<std::chrono::milliseconds>(
      const metadata::transaction&)>
      lateness = [](const metadata::transaction&) { return std::nullopt; };
};

/// The key-value store with revisions, leases, watches and faults.
class emulated_store {
 public:
  emulated_store(reactor::event_loop& loop, std::uint64_t seed);

  /// The store as one instance reaches it. Answers take time of the instance's
  /// `processor`, which must outlive the store.
  std::unique_ptr<metadata::store> ViewFor(const std::string& node,
                                           emulated_processor& processor);

  store_faults& Faults() { return faults_; }
  /// Writes for the operator and the workers, which no fault hits.
  void Put(const std::string& key, std::string value);
  void Delete(const std::string& key);
  /// Values above this are turned down.
  void SetValueLimit(std::size_t bytes) { value_limit_ = bytes; }
  /// Drops the history: watches from before must list anew.
  void Compact();
  /// Takes the keys of a node's lease away.
  void RevokeKeysOf(const std::string& node);
  const std::map<std::string, metadata::item>& Items() const { return items_; }
  std::uint64_t Calls() const { return calls_; }
  std::uint64_t Writes() const { return writes_; }

 private:
  friend class emulated_store_view;

  struct lease_state {
    std::string node;
    std::chrono::milliseconds term{0};
    base::time_point ends;
  };
  struct waiting_watch {
    std::string prefix;
    metadata::revision after = 0;
    std::function<void(const metadata::change_list&)> answer;
    bool answered = false;
  };

  bool IsDown() const { return faults_.silent || faults_.rejecting; }
  bool Rejects(const std::string& node) const;
  bool LosesAnswer();
  std::chrono::milliseconds Latency() const;
  void Record(const metadata::change& change);
  void ExpireLeases();
  void EndLease(metadata::lease_id lease);
  metadata::change_list ChangesAfter(const std::string& prefix,
                                     metadata::revision after) const;
  void WakeWatches();
  metadata::commit_answer Apply(const metadata::transaction& changes,
                                bool& lease_missing);

  reactor::event_loop& loop_;
  std::mt19937_64 random_;
  store_faults faults_;
  std::map<std::string, metadata::item> items_;
  std::map<metadata::lease_id, lease_state> leases_;
  std::deque<metadata::change> history_;
  std::vector<std::shared_ptr<waiting_watch>> watches_;
  metadata::revision revision_ = 100;
  metadata::revision history_begins_ = 100;
  metadata::lease_id last_lease_ = 0;
  std::size_t value_limit_ = std::size_t{1} << 20;
  std::uint64_t calls_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_EMULATED_STORE_H_
