#ifndef CHIVECRANK_ENTRIES_SLOT_EXCHANGER_H_
#define CHIVECRANK_ENTRIES_SLOT_EXCHANGER_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "chivecrank/base/clock.h"
#include "chivecrank/entries/entry_client.h"
#include "chivecrank/entries/slot_pool.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::entries {

/// Carries a pool's messages to the other entries: one thread plans, and one
/// for each peer waits for answers, so that a silent peer holds up no other.
class slot_exchanger {
 public:
  /// `peers` has the address of each place; the one at `own` is not used.
  slot_exchanger(base::clock& clock,
                 slot_pool& pool,
                 const std::vector<settings::endpoint>& peers,
                 std::int64_t own,
                 std::chrono::milliseconds timeout);
  ~slot_exchanger();
  slot_exchanger(const slot_exchanger&) = delete;
  slot_exchanger& operator=(const slot_exchanger&) = delete;

  void Start();
  void Stop();

 private:
  class peer_link;

  void Plan();

  base::clock& clock_;
  slot_pool& pool_;
  std::map<std::int64_t, std::unique_ptr<peer_link>> links_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank::entries

#endif  // CHIVECRANK_ENTRIES_SLOT_EXCHANGER_H_
