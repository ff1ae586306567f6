#ifndef CHIVECRANK_RUNTIME_SUBMISSION_SERVICE_H_
#define CHIVECRANK_RUNTIME_SUBMISSION_SERVICE_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::runtime {

/// The outcome of a Submit call.
enum class submit_outcome {
  /// The submission is stored and will run.
  kAccepted,
  /// The submission was not stored and will not run unless it is submitted
  /// again.
  kRejected,
  /// It is unknown whether the submission was stored.
  kOutcomeUnknown,
};

struct submit_answer {
  submit_outcome verdict = submit_outcome::kRejected;
  /// How long to wait before a rejected submission is submitted again.
  std::chrono::milliseconds retry_after{0};
  /// Why it was rejected, if sending it again would not help.
  std::optional<base::error> reason;
};

/// The state of a submission as shown to callers.
enum class submission_state {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
  /// No submission with this identifier was accepted.
  kUnknown,
  /// The state cannot be determined now.
  kUnavailable,
};

/// The outcome of a Cancel call.
enum class cancel_outcome {
  kCancelled,
  /// No such submission is stored, nor will a request that was sent so far
  /// store it.
  kUnknownSubmission,
  /// Nothing was cancelled.
  kUnavailable,
  /// It may have been cancelled, or may be later.
  kOutcomeUnknown,
};

/// A cancel_outcome as shown in metrics.
std::string_view CancelOutcomeName(cancel_outcome outcome);

/// Accepts submissions and reports their state. Each callback is called once,
/// possibly before the call returns.
class submission_service {
 public:
  virtual ~submission_service() = default;

  /// Stores a submission and calls `done` by `give_up_at`. The shard and the
  /// time of acceptance are filled in.
  virtual void Submit(submissions::submission offered,
                      base::time_point give_up_at,
                      std::function<void(submit_answer)> done) = 0;
  virtual void State(const std::string& id,
                     std::function<void(submission_state)> done) = 0;
  virtual void Cancel(const std::string& id,
                      base::time_point give_up_at,
                      std::function<void(cancel_outcome)> done) = 0;
  /// Number of accepted submissions of a queue of which no task has started.
  virtual std::int64_t CountQueued(const std::string& queue) const = 0;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SUBMISSION_SERVICE_H_
