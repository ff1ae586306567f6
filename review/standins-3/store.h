#ifndef CHIVECRANK_REVIEW_STANDINS_3_STORE_H_
#define CHIVECRANK_REVIEW_STANDINS_3_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http.h"

namespace review {

/// The platform's metadata store, as PROTOCOL.md describes it: keys with
/// revisions, leases, watches, and transactions under conditions.
class store {
 public:
  struct condition {
    std::string key;
    std::int64_t revision = 0;
  };
  struct write {
    std::string key;
    /// In base64, as it came.
    std::string value;
    std::int64_t lease = 0;
  };
  struct transaction {
    std::vector<condition> conditions;
    std::vector<write> writes;
    std::vector<std::string> deletes;

    bool Writes(const std::string& prefix) const;
  };
  /// What becomes of a transaction: carried out and answered now, or not
  /// answered and carried out after a while if its conditions still hold.
  struct fate {
    bool answered = true;
    int carried_out_after_ms = 0;
  };
  using fate_hook = std::function<fate(const transaction&)>;

  explicit store(int heartbeat_ms);

  bool Listen(std::uint16_t port);
  void SetFate(fate_hook hook);
  /// Writes a key that belongs to the operator.
  void Put(const std::string& key, const std::string& plain_value);
  bool Has(const std::string& key);

 private:
  struct item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct change {
    std::string key;
    std::int64_t revision = 0;
    /// Unset for a deletion.
    std::optional<item> now;
    std::int64_t at_ms = 0;
  };
  struct lease {
    std::int64_t term_ms = 0;
    std::int64_t ends_at_ms = 0;
    std::set<std::string> keys;
  };

  std::optional<http::response> Handle(const http::request& asked);
  http::response Get(const std::string& key);
  http::response List(const http::request& asked);
  http::response Watch(const http::request& asked);
  std::optional<http::response> Commit(const http::request& asked);
  http::response Grant(const http::request& asked);
  http::response Renew(std::int64_t id);
  http::response End(std::int64_t id);
  http::response Beat(const http::request& asked);
  /// The rest is called with the lock held.
  http::response Apply(const transaction& changes);
  void PutItem(const std::string& key,
               const std::string& value,
               std::int64_t lease,
               std::int64_t revision);
  void DeleteItem(const std::string& key, std::int64_t revision);
  void Expire();

  const int heartbeat_ms_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::deque<change> history_;
  std::int64_t forgotten_revision_ = 0;
  std::map<std::int64_t, lease> leases_;
  std::int64_t revision_ = 100;
  std::int64_t last_lease_ = 70000;
  /// Workers' entries: when the last report came.
  std::map<std::string, std::int64_t> reported_at_;
  fate_hook fate_;
};

}  // namespace review

#endif  // CHIVECRANK_REVIEW_STANDINS_3_STORE_H_
