#ifndef CHIVECRANK_ENTRIES_ENTRY_SERVER_H_
#define CHIVECRANK_ENTRIES_ENTRY_SERVER_H_

#include <memory>

#include "chivecrank/base/result.h"
#include "chivecrank/entries/slot_pool.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::entries {

/// Serves exchange requests of the other entries over Thrift.
class entry_server {
 public:
  entry_server(settings::endpoint address, slot_pool& pool);
  ~entry_server();
  entry_server(const entry_server&) = delete;
  entry_server& operator=(const entry_server&) = delete;

  /// kUnavailable if the address can't be bound.
  base::result<void> Start();
  /// Stops after the calls in progress have ended.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace chivecrank::entries

#endif  // CHIVECRANK_ENTRIES_ENTRY_SERVER_H_
