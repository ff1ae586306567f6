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

/// Where workers describe themselves, and how to read such an entry.
struct worker_source {
  std::string prefix;
  std::function<base::result<submissions::worker_description>(
      std::string_view id,
      std::string_view entry)>
      decode;
};

struct directory_settings {
  /// Time between two listings.
  std::chrono::milliseconds interval{700};
  /// How long workers that are missing stay listed after the store was away:
  /// those that live are back by then.
  std::chrono::milliseconds return_time{2500};
};

/// The workers that describe themselves in the store.
class worker_directory {
 public:
  using worker_map = std::map<std::string, submissions::worker_description>;

  worker_directory(reactor::event_loop& loop,
                   metadata::store& store,
                   event_log::event_log& log,
                   worker_source source,
                   directory_settings settings);

  /// Lists from now on while `wanted` holds; `on_listed` is called after each
  /// listing.
  void Start(std::function<bool()> wanted, std::function<void()> on_listed);
  /// Lists at once: what was listed last may be from long ago, when this
  /// instance owned something.
  void Refresh();
  const worker_map& Workers() const { return workers_; }

 private:
  void Poll();
  void PollLater();
  void OnListed(base::result<prefix_listing> listing);
  void Publish(const std::vector<metadata::item>& items);

  reactor::event_loop& loop_;
  metadata::store& store_;
  event_log::event_log& log_;
  const worker_source source_;
  const directory_settings settings_;
  std::function<bool()> wanted_;
  std::function<void()> on_listed_;
  worker_map workers_;
  base::time_point last_trouble_;
  bool listing_ = false;
  reactor::timer_id next_poll_ = 0;
  reactor::callback_guard guard_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_WORKER_DIRECTORY_H_
