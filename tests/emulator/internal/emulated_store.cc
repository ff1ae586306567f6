#include "chivecrank/emulator/emulated_store.h"

#include <algorithm>
#include <utility>

namespace chivecrank::emulator {
namespace {

constexpr std::chrono::milliseconds kLatency{4};
constexpr std::chrono::milliseconds kCallTimeout{1500};
constexpr std::chrono::milliseconds kRenewTimeout{700};
constexpr std::chrono::milliseconds kLeaseCheck{50};
constexpr std::size_t kPageItems = 500;

base::error Rejected() {
  return {base::error_kind::kUnavailable, "the store rejects calls",
          "try again later"};
}

base::error NoAnswer() {
  return {base::error_kind::kOutcomeUnknown, "no answer in time",
          "read back what was done"};
}

base::error NoLease() {
  return {base::error_kind::kNotFound, "no such lease", "grant a new one"};
}

}  // namespace

/// One instance's way to the store.
class emulated_store_view final : public metadata::store {
 public:
  emulated_store_view(emulated_store& shared,
                      std::string node,
                      emulated_processor& processor)
      : shared_(shared), node_(std::move(node)), processor_(processor) {}

  void Get(const std::string& key,
           metadata::callback<std::optional<metadata::item>> done) override {
    Call<std::optional<metadata::item>>(false, std::move(done), [this, key] {
      const auto found = shared_.items_.find(key);
      if (found == shared_.items_.end())
        return base::result<std::optional<metadata::item>>(std::nullopt);
      return base::result<std::optional<metadata::item>>(found->second);
    });
  }

  void List(const std::string& prefix,
            const std::string& after,
            bool,
            metadata::callback<metadata::page> done) override {
    Call<metadata::page>(false, std::move(done), [this, prefix, after] {
      metadata::page page;
      auto next = after.empty() ? shared_.items_.lower_bound(prefix)
                                : shared_.items_.upper_bound(after);
      for (; next != shared_.items_.end() && next->first.starts_with(prefix);
           ++next) {
        if (page.items.size() == kPageItems) {
          page.truncated = true;
          break;
        }
        page.items.push_back(next->second);
      }
      page.current = shared_.revision_;
      return base::result<metadata::page>(std::move(page));
    });
  }

  void Watch(const std::string& prefix,
             metadata::revision after,
             std::chrono::milliseconds wait,
             metadata::callback<metadata::change_list> done) override {
    ++shared_.calls_;
    if (shared_.Rejects(node_))
      return Answer(kLatency, [done] { done(Rejected()); });
    if (shared_.faults_.silent)
      return Answer(wait + kCallTimeout, [done] { done(NoAnswer()); });
    auto list = shared_.ChangesAfter(prefix, after);
    if (!list.changes.empty() || list.history_gone)
      return AnswerChanges(list, done);
    auto waiting = std::make_shared<emulated_store::waiting_watch>();
    waiting->prefix = prefix;
    waiting->after = after;
    waiting->answer = [this, done](const metadata::change_list& changes) {
      AnswerChanges(changes, done);
    };
    shared_.watches_.push_back(waiting);
    Later(wait, [this, waiting, done] {
      if (std::exchange(waiting->answered, true))
        return;
      std::erase(shared_.watches_, waiting);
      // What changed meanwhile was not told.
      if (shared_.IsDown())
        return Answer(kCallTimeout, [done] { done(NoAnswer()); });
      metadata::change_list none;
      none.current = shared_.revision_;
      waiting->answer(none);
    });
  }

  void Commit(metadata::transaction changes,
              metadata::callback<metadata::commit_answer> done) override {
    ++shared_.writes_;
    if (const auto late_by = shared_.faults_.lateness(changes))
      return CommitLate(std::move(changes), *late_by, std::move(done));
    Call<metadata::commit_answer>(
        true, std::move(done),
        [this, changes]() -> base::result<metadata::commit_answer> {
          for (const metadata::write& written : changes.writes)
            if (written.value.size() > shared_.value_limit_)
              return base::error{base::error_kind::kInvalidArgument,
                                 "the value is too large", "split it"};
          bool lease_missing = false;
          auto answer = shared_.Apply(changes, lease_missing);
          if (lease_missing)
            return NoLease();
          return answer;
        });
  }

  void Grant(std::chrono::milliseconds term,
             metadata::callback<metadata::granted_lease> done) override {
    ++shared_.writes_;
    Call<metadata::granted_lease>(true, std::move(done), [this, term] {
      const metadata::lease_id id = ++shared_.last_lease_;
      shared_.leases_[id] = {node_, term, shared_.loop_.Now() + term};
      return base::result<metadata::granted_lease>(
          metadata::granted_lease{id, term});
    });
  }

  void Renew(metadata::lease_id lease,
             metadata::callback<metadata::granted_lease> done) override {
    Call<metadata::granted_lease>(
        false, std::move(done),
        [this, lease]() -> base::result<metadata::granted_lease> {
          const auto found = shared_.leases_.find(lease);
          if (found == shared_.leases_.end())
            return NoLease();
          found->second.ends = shared_.loop_.Now() + found->second.term;
          return metadata::granted_lease{lease, found->second.term};
        },
        kRenewTimeout);
  }

  void End(metadata::lease_id lease, metadata::callback<bool> done) override {
    Call<bool>(true, std::move(done), [this, lease]() -> base::result<bool> {
      if (!shared_.leases_.contains(lease))
        return NoLease();
      shared_.EndLease(lease);
      return true;
    });
  }

 private:
  void CommitLate(metadata::transaction changes,
                  std::chrono::milliseconds late_by,
                  metadata::callback<metadata::commit_answer> done) {
    Later(late_by, [this, changes = std::move(changes)] {
      bool lease_missing = false;
      shared_.Apply(changes, lease_missing);
    });
    Answer(kCallTimeout, [done = std::move(done)] { done(NoAnswer()); });
  }

  void Later(std::chrono::milliseconds delay, std::function<void()> step) {
    shared_.loop_.After(delay, std::move(step));
  }

  /// Delivers an answer of so many items to the instance `delay` from now.
  void Answer(std::chrono::milliseconds delay,
              std::function<void()> step,
              std::size_t items = 0) {
    processor_.DeliverAfter(shared_.loop_, delay, items, std::move(step));
  }

  void AnswerChanges(const metadata::change_list& list,
                     const metadata::callback<metadata::change_list>& done) {
    Answer(
        shared_.Latency(), [done, list] { done(list); }, list.changes.size());
  }

  template <class T>
  static std::size_t ItemsOf(const base::result<T>&) {
    return 0;
  }
  static std::size_t ItemsOf(const base::result<metadata::page>& answer) {
    return answer ? answer.value().items.size() : 0;
  }

  template <class T>
  void Call(bool changes,
            metadata::callback<T> done,
            std::function<base::result<T>()> carry_out,
            std::chrono::milliseconds timeout = kCallTimeout) {
    ++shared_.calls_;
    const auto half = shared_.Latency() / 2;
    Later(half, [this, changes, half, timeout, done = std::move(done),
                 carry_out = std::move(carry_out)] {
      if (shared_.Rejects(node_))
        return Answer(half, [done] { done(Rejected()); });
      if (shared_.faults_.silent)
        return Answer(timeout, [done] { done(NoAnswer()); });
      auto answer = carry_out();
      if (changes && shared_.LosesAnswer())
        return Answer(timeout, [done] { done(NoAnswer()); });
      Answer(
          half, [done, answer] { done(answer); }, ItemsOf(answer));
    });
  }

  emulated_store& shared_;
  const std::string node_;
  emulated_processor& processor_;
};

emulated_store::emulated_store(reactor::event_loop& loop, std::uint64_t seed)
    : loop_(loop), random_(seed) {
  ExpireLeases();
}

std::unique_ptr<metadata::store> emulated_store::ViewFor(
    const std::string& node,
    emulated_processor& processor) {
  return std::make_unique<emulated_store_view>(*this, node, processor);
}

void emulated_store::Put(const std::string& key, std::string value) {
  metadata::item& item = items_[key];
  item.key = key;
  item.value = std::move(value);
  item.changed_at = ++revision_;
  Record({item, false});
  WakeWatches();
}

void emulated_store::Delete(const std::string& key) {
  if (items_.erase(key) == 0)
    return;
  metadata::item gone;
  gone.key = key;
  gone.changed_at = ++revision_;
  Record({gone, true});
  WakeWatches();
}

void emulated_store::Compact() {
  history_.clear();
  history_begins_ = ++revision_;
}

void emulated_store::RevokeKeysOf(const std::string& node) {
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    const auto lease = leases_.find(item.lease);
    if (lease != leases_.end() && lease->second.node == node)
      keys.push_back(key);
  }
  for (const std::string& key : keys)
    Delete(key);
}

bool emulated_store::Rejects(const std::string& node) const {
  return faults_.rejecting || faults_.rejected_nodes.contains(node);
}

bool emulated_store::LosesAnswer() {
  std::uniform_real_distribution<double> share(0, 1);
  return faults_.lost_share > 0 && share(random_) < faults_.lost_share;
}

std::chrono::milliseconds emulated_store::Latency() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      kLatency * faults_.slowness);
}

void emulated_store::Record(const metadata::change& change) {
  history_.push_back(change);
}

void emulated_store::ExpireLeases() {
  if (IsDown() && !faults_.leases_lapse)
    for (auto& [id, lease] : leases_)
      lease.ends += kLeaseCheck;
  std::vector<metadata::lease_id> over;
  for (const auto& [id, lease] : leases_)
    if (lease.ends <= loop_.Now())
      over.push_back(id);
  for (const metadata::lease_id id : over)
    EndLease(id);
  loop_.After(kLeaseCheck, [this] { ExpireLeases(); });
}

void emulated_store::EndLease(metadata::lease_id lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_)
    if (item.lease == lease)
      keys.push_back(key);
  for (const std::string& key : keys)
    Delete(key);
}

metadata::change_list emulated_store::ChangesAfter(
    const std::string& prefix,
    metadata::revision after) const {
  metadata::change_list list;
  list.current = revision_;
  if (after < history_begins_) {
    list.history_gone = true;
    return list;
  }
  for (const metadata::change& change : history_)
    if (change.now.changed_at > after && change.now.key.starts_with(prefix))
      list.changes.push_back(change);
  return list;
}

void emulated_store::WakeWatches() {
  if (IsDown())
    return;
  std::vector<std::shared_ptr<waiting_watch>> still_waiting;
  for (const auto& waiting : std::exchange(watches_, {})) {
    const auto list = ChangesAfter(waiting->prefix, waiting->after);
    if (list.changes.empty() && !list.history_gone) {
      still_waiting.push_back(waiting);
      continue;
    }
    waiting->answered = true;
    waiting->answer(list);
  }
  for (auto& waiting : still_waiting)
    watches_.push_back(std::move(waiting));
}

metadata::commit_answer emulated_store::Apply(
    const metadata::transaction& changes,
    bool& lease_missing) {
  metadata::commit_answer answer;
  answer.applied = changes.Entries() <= metadata::kMaxTransactionEntries;
  for (const metadata::condition& condition : changes.conditions) {
    const auto found = items_.find(condition.key);
    const metadata::revision at =
        found == items_.end() ? 0 : found->second.changed_at;
    if (found != items_.end())
      answer.current.push_back(found->second);
    if (at != condition.changed_at)
      answer.applied = false;
  }
  lease_missing =
      std::ranges::any_of(changes.writes, [&](const metadata::write& write) {
        return write.lease != 0 && !leases_.contains(write.lease);
      });
  if (!answer.applied || lease_missing)
    return answer;
  answer.at = ++revision_;
  for (const metadata::write& write : changes.writes) {
    metadata::item& item = items_[write.key];
    item = {write.key, write.value, answer.at, write.lease};
    Record({item, false});
  }
  for (const std::string& key : changes.deletes) {
    if (items_.erase(key) == 0)
      continue;
    metadata::item gone;
    gone.key = key;
    gone.changed_at = answer.at;
    Record({gone, true});
  }
  WakeWatches();
  return answer;
}

}  // namespace chivecrank::emulator
