#ifndef CHIVECRANK_EMULATOR_EMULATED_PERMITS_H_
#define CHIVECRANK_EMULATOR_EMULATED_PERMITS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivecrank/emulator/emulated_processor.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/submissions/permit_service.h"

namespace chivecrank::emulator {

/// The service that knows where steps may start: on every other worker, drawn
/// by step and worker.
class emulated_permits {
 public:
  explicit emulated_permits(reactor::event_loop& loop) : loop_(loop) {}

  /// The service as one instance reaches it. Answers take time of its
  /// `processor`, which must outlive the service.
  std::unique_ptr<submissions::permit_service> ViewFor(
      emulated_processor& processor);

  /// No question is answered.
  void SetSilent(bool silent) { silent_ = silent; }
  /// Whether a start with the permit may begin on the worker now.
  bool Holds(const submissions::start_command& command) const;
  std::uint64_t Questions() const { return questions_; }

 private:
  friend class emulated_permits_view;

  struct issued {
    submissions::task_ref step;
    std::string worker;
    base::time_point valid_until;
  };

  static bool IsAllowed(const submissions::task_ref& step,
                        const std::string& worker);
  std::vector<submissions::start_permit> Grant(
      const submissions::permit_request& request);

  reactor::event_loop& loop_;
  std::map<std::string, issued> issued_;
  std::uint64_t questions_ = 0;
  bool silent_ = false;
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_EMULATED_PERMITS_H_
