#ifndef CHIVECRANK_REVIEW_STANDINS_3_GANG_HUB_H_
#define CHIVECRANK_REVIEW_STANDINS_3_GANG_HUB_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

/// What the members of a gang, which may run on different workers, know of one
/// another.
class gang_hub {
 public:
  bool Listen(std::uint16_t port);

 private:
  struct member {
    std::int64_t seen_at_ms = 0;
    std::string value;
  };
  struct gang {
    std::map<std::string, member> members;
    bool was_complete = false;
    bool done = false;
  };

  http::response Handle(const http::request& asked);

  std::mutex mutex_;
  /// By step and run.
  std::map<std::string, gang> gangs_;
};

/// What a member is told.
enum class gang_state {
  kWaiting,
  kWorking,
  kBroken,
  kDone,
};

/// Tells the hub that a member of the gang is there, and returns the state.
/// `value` is the checkpoint that its start carried; `done`: its work is done.
gang_state ReportMember(std::uint16_t hub_port,
                        const std::string& gang,
                        const std::string& task,
                        const std::string& value,
                        std::size_t size,
                        bool done);

}  // namespace review

#endif  // CHIVECRANK_REVIEW_STANDINS_3_GANG_HUB_H_
