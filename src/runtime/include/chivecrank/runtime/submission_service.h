#ifndef CHIVECRANK_RUNTIME_SUBMISSION_SERVICE_H_
#define CHIVECRANK_RUNTIME_SUBMISSION_SERVICE_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/submissions/types.h"

namespace chivecrank::runtime {

/// What became of a submission that was handed in.
enum class submit_outcome {
  /// It is stored and will run.
  kAccepted,
  /// It was not stored and never runs, unless it is handed in again.
  kRejected,
  /// Whether it was stored is not known.
  kOutcomeUnknown,
};

struct submit_answer {
  submit_outcome verdict = submit_outcome::kRejected;
  /// When a rejected submission may be handed in again.
  std::chrono::milliseconds retry_after{0};
};

/// What callers see of a submission.
enum class submission_state {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
  /// No such submission was accepted.
  kUnknown,
  /// It can't be told now.
  kUnavailable,
};

/// What became of a cancellation.
enum class cancel_outcome { kCancelled, kUnknownSubmission, kUnavailable };

/// Takes submissions in and tells how they are. Callbacks run once, possibly
/// at once.
class submission_service {
 public:
  virtual ~submission_service() = default;

  /// Stores a submission; the caller waits until `give_up_at`. The shard and
  /// the time of acceptance are filled in.
  virtual void Submit(submissions::submission offered,
                      base::time_point give_up_at,
                      std::function<void(submit_answer)> done) = 0;
  virtual void State(const std::string& id,
                     std::function<void(submission_state)> done) = 0;
  virtual void Cancel(const std::string& id,
                      base::time_point give_up_at,
                      std::function<void(cancel_outcome)> done) = 0;
  /// Accepted submissions of a queue none of whose tasks has started.
  virtual std::int64_t CountQueued(const std::string& queue) const = 0;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_SUBMISSION_SERVICE_H_
