#include "chivecrank/emulator/emulated_permits.h"

#include <functional>
#include <utility>

namespace chivecrank::emulator {
namespace {

/// A question that is not answered is given up after this.
constexpr std::chrono::milliseconds kGivenUpAfter{2000};

}  // namespace

/// The service as one instance reaches it.
class emulated_permits_view final : public submissions::permit_service {
 public:
  emulated_permits_view(emulated_permits& shared, emulated_processor& processor)
      : shared_(shared), processor_(processor) {}

  void RequestPermits(
      const submissions::permit_request& request,
      std::function<void(base::result<std::vector<submissions::start_permit>>)>
          done) override {
    ++shared_.questions_;
    if (shared_.silent_) {
      return Answer(kGivenUpAfter, [done = std::move(done)] {
        done(base::error{base::error_kind::kOutcomeUnknown,
                         "no answer about permits", "ask again"});
      });
    }
    Answer(request.ProcessingTime(), [this, request, done = std::move(done)] {
      done(shared_.Grant(request));
    });
  }

 private:
  void Answer(std::chrono::milliseconds delay, std::function<void()> step) {
    processor_.DeliverAfter(shared_.loop_, delay, 0, std::move(step));
  }

  emulated_permits& shared_;
  emulated_processor& processor_;
};

std::unique_ptr<submissions::permit_service> emulated_permits::ViewFor(
    emulated_processor& processor) {
  return std::make_unique<emulated_permits_view>(*this, processor);
}

bool emulated_permits::IsAllowed(const submissions::task_ref& step,
                                 const std::string& worker) {
  const std::hash<std::string> hash;
  return (hash(step.submission) + hash(worker) +
          static_cast<std::size_t>(step.step)) %
             2 ==
         0;
}

std::vector<submissions::start_permit> emulated_permits::Grant(
    const submissions::permit_request& request) {
  std::vector<submissions::start_permit> granted;
  for (const std::string& worker : request.workers) {
    const submissions::task_ref step = submissions::FirstOfStep(request.step);
    if (!IsAllowed(step, worker))
      continue;
    std::string permit = "permit-" + std::to_string(issued_.size());
    issued_[permit] = {step, worker, loop_.Now() + request.timing.validity};
    granted.push_back({worker, std::move(permit)});
  }
  return granted;
}

bool emulated_permits::Holds(const submissions::start_command& command) const {
  const auto found = issued_.find(command.permit);
  return found != issued_.end() &&
         found->second.step == submissions::FirstOfStep(command.task) &&
         found->second.worker == command.worker &&
         loop_.Now() < found->second.valid_until;
}

}  // namespace chivecrank::emulator
