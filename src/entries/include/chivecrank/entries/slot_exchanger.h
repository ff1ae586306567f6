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

/// Delivers a pool's messages to the other entries. One thread plans them, and
/// one thread per peer waits for the answers, so that an unresponsive peer
/// delays no other.
class slot_exchanger {
 public:
  /// `peers` holds the address of each entry by index; the one at `own_index`
  /// is not used.
  slot_exchanger(base::clock& clock,
                 slot_pool& pool,
                 const std::vector<settings::endpoint>& peers,
                 std::int64_t own_index,
                 std::chrono::milliseconds timeout);
  ~slot_exchanger();
  slot_exchanger(const slot_exchanger&) = delete;
  slot_exchanger& operator=(const slot_exchanger&) = delete;

  void Start();
  void Stop();

 private:
  class peer_link;

  void RunPlanning();

  base::clock& clock_;
  slot_pool& pool_;
  std::map<std::int64_t, std::unique_ptr<peer_link>> links_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chivecrank::entries

#endif  // CHIVECRANK_ENTRIES_SLOT_EXCHANGER_H_
