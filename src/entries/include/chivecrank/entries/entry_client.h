#ifndef CHIVECRANK_ENTRIES_ENTRY_CLIENT_H_
#define CHIVECRANK_ENTRIES_ENTRY_CLIENT_H_

#include <chrono>
#include <memory>

#include "chivecrank/base/result.h"
#include "chivecrank/routing/types.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::entries {

/// Calls another entry over one persistent connection. Used by one thread.
class entry_client {
 public:
  entry_client(settings::endpoint address, std::chrono::milliseconds timeout);
  ~entry_client();
  entry_client(const entry_client&) = delete;
  entry_client& operator=(const entry_client&) = delete;

  /// Blocks until the answer or the timeout. kUnavailable if no answer arrived;
  /// the connection is then closed, so that a delayed answer is never taken for
  /// the answer to a later request.
  base::result<routing::exchange_answer> Exchange(
      const routing::exchange_request& request);

 private:
  class connection;

  settings::endpoint address_;
  std::chrono::milliseconds timeout_;
  std::unique_ptr<connection> connection_;
};

}  // namespace chivecrank::entries

#endif  // CHIVECRANK_ENTRIES_ENTRY_CLIENT_H_
