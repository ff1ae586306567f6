#ifndef CHIVECRANK_RUNTIME_TESTS_SCRIPTED_STORE_H_
#define CHIVECRANK_RUNTIME_TESTS_SCRIPTED_STORE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivecrank/metadata/store.h"

namespace chivecrank::runtime {

/// A store that holds items and carries out a transaction when the test says
/// so: in time, unanswered, or late. Reads and requests for leases are answered
/// by AnswerCalls(); tests answer listings and watches themselves; all other
/// calls stay unanswered.
class scripted_store final : public metadata::store {
 public:
  void Get(const std::string& key,
           metadata::callback<std::optional<metadata::item>> done) override {
    calls_.push_back([this, key, done = std::move(done)] {
      const auto found = items.find(key);
      done(found == items.end() ? std::optional<metadata::item>()
                                : std::optional<metadata::item>(found->second));
    });
  }
  void List(const std::string&,
            const std::string&,
            bool,
            metadata::callback<metadata::page> done) override {
    lists.push_back(std::move(done));
  }
  void Watch(const std::string&,
             metadata::revision,
             std::chrono::milliseconds,
             metadata::callback<metadata::change_list> done) override {
    watches.push_back(std::move(done));
  }
  void Commit(metadata::transaction changes,
              metadata::callback<metadata::commit_answer> done) override {
    ++commits;
    sent_.push_back({std::move(changes), std::move(done)});
  }
  void Grant(std::chrono::milliseconds term,
             metadata::callback<metadata::granted_lease> done) override {
    calls_.push_back([this, term, done = std::move(done)] {
      if (grant_error)
        return done(*grant_error);
      leases.insert(++last_lease);
      done(metadata::granted_lease{last_lease, term});
    });
  }
  void Renew(metadata::lease_id,
             metadata::callback<metadata::granted_lease>) override {}
  void End(metadata::lease_id, metadata::callback<bool>) override {}

  /// Answers the reads and requests for leases that were sent.
  void AnswerCalls() {
    for (const auto& answer : std::exchange(calls_, {}))
      answer();
  }
  /// Whether a transaction was sent whose fate is open.
  bool HasSent() const { return !sent_.empty(); }
  /// Carries out the oldest such transaction and answers it.
  void AnswerNext() {
    const call next = TakeNext();
    for (const metadata::write& written : next.changes.writes)
      if (written.lease != 0 && !leases.contains(written.lease))
        return next.done(base::error{base::error_kind::kNotFound,
                                     "no such lease", "grant a new one"});
    next.done(Apply(next.changes));
  }
  /// Rejects the oldest one.
  void RejectNext() {
    TakeNext().done(base::error{base::error_kind::kUnavailable,
                                "the store rejects calls", "try again later"});
  }
  /// Ends a lease, and deletes its keys.
  void EndLease(metadata::lease_id lease) {
    leases.erase(lease);
    std::erase_if(items, [lease](const auto& stored) {
      return stored.second.lease == lease;
    });
  }
  /// Answers the oldest one with an error, and returns it so that it can be
  /// carried out late.
  metadata::transaction LoseNext() {
    call next = TakeNext();
    next.done(base::error{base::error_kind::kOutcomeUnknown,
                          "no answer in time", "read back what was done"});
    return std::move(next.changes);
  }
  /// Answers the oldest listing with all items.
  void AnswerNextList() {
    const auto done = std::move(lists.front());
    lists.pop_front();
    metadata::page page;
    for (const auto& [key, item] : items)
      page.items.push_back(item);
    done(std::move(page));
  }
  /// Carries out a transaction if its conditions hold.
  metadata::commit_answer Apply(const metadata::transaction& changes) {
    metadata::commit_answer answer;
    answer.applied = true;
    for (const metadata::condition& condition : changes.conditions) {
      const auto found = items.find(condition.key);
      if (found != items.end())
        answer.current.push_back(found->second);
      if (RevisionOf(condition.key) != condition.changed_at)
        answer.applied = false;
    }
    if (!answer.applied)
      return answer;
    answer.at = ++revision;
    for (const metadata::write& written : changes.writes)
      items[written.key] = {written.key, written.value, answer.at,
                            written.lease};
    for (const std::string& key : changes.deletes)
      items.erase(key);
    return answer;
  }
  /// 0 for a key that does not exist.
  metadata::revision RevisionOf(const std::string& key) const {
    const auto found = items.find(key);
    return found == items.end() ? 0 : found->second.changed_at;
  }

  /// In the order of the calls.
  std::deque<metadata::callback<metadata::page>> lists;
  std::deque<metadata::callback<metadata::change_list>> watches;
  std::map<std::string, metadata::item> items;
  metadata::revision revision = 100;
  int commits = 0;
  std::set<metadata::lease_id> leases;
  metadata::lease_id last_lease = 900;
  /// Set: the answer to requests for leases.
  std::optional<base::error> grant_error;

 private:
  struct call {
    metadata::transaction changes;
    metadata::callback<metadata::commit_answer> done;
  };

  call TakeNext() {
    call next = std::move(sent_.front());
    sent_.pop_front();
    return next;
  }

  std::deque<call> sent_;
  std::vector<std::function<void()>> calls_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_TESTS_SCRIPTED_STORE_H_
