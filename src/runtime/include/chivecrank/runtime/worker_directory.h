#ifndef CHIVECRANK_RUNTIME_WORKER_DIRECTORY_H_
#define CHIVECRANK_RUNTIME_WORKER_DIRECTORY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/store.h"
#include "chivecrank/reactor/callback_guard.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/runtime/prefix_listing.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::runtime {

/// Location of the worker entries in the store, and their decoder.
struct worker_source {
  std::string prefix;
  std::function<base::result<submissions::worker_description>(
      std::string_view id,
      std::string_view entry)>
      decode;
};

struct worker_directory_settings {
  /// Time between two listings of the workers.
  std::chrono::milliseconds interval{700};
  /// How long missing workers are still listed after the store was unavailable.
  /// Workers that are alive register again within this time.
  std::chrono::milliseconds reappearance_grace{2500};
};

/// The workers that have registered themselves in the store.
class worker_directory {
 public:
  using worker_map = std::map<std::string, submissions::worker_description>;

  worker_directory(reactor::event_loop& loop,
                   metadata::store& store,
                   event_log::event_log& log,
                   worker_source source,
                   worker_directory_settings settings);

  /// Starts listing the workers periodically while `is_needed` returns true;
  /// `on_listed` is called after each listing.
  void Start(std::function<bool()> is_needed, std::function<void()> on_listed);
  /// Lists the workers at once, unless a listing sent since `wanted_as_of` is
  /// in progress. The last one may be old, from the time when this instance
  /// last owned a shard or when the store was away.
  void Refresh(base::time_point wanted_as_of);
  const worker_map& Workers() const { return workers_; }
  /// The list shows all that the store had accepted by then.
  base::time_point AsOf() const { return as_of_; }

 private:
  void Poll();
  void SchedulePoll();
  void OnListed(base::result<prefix_listing> listing);
  void Publish(const std::vector<metadata::item>& items);
  /// Tells of an entry that names no worker, once for each of its versions.
  void ReportRejected(const metadata::item& entry,
                      const base::error& reason) const;

  reactor::event_loop& loop_;
  metadata::store& store_;
  event_log::event_log& log_;
  const worker_source source_;
  const worker_directory_settings settings_;
  std::function<bool()> is_needed_;
  std::function<void()> on_listed_;
  worker_map workers_;
  /// Keys of the entries that the last listing rejected, and their versions.
  std::map<std::string, metadata::revision> rejected_;
  base::time_point last_failure_at_;
  base::time_point as_of_;
  /// When the newest listing was sent; answers to others are ignored.
  base::time_point sent_at_;
  bool listing_ = false;
  reactor::timer_id next_poll_ = 0;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_WORKER_DIRECTORY_H_
