#ifndef CHIVECRANK_TESTS_HARNESS_CALLER_H_
#define CHIVECRANK_TESTS_HARNESS_CALLER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "chivecrank/callers/types.h"
#include "chivecrank/http/client.h"

namespace chivecrank::harness {

/// One send of a request.
struct call_try {
  settings::endpoint entry;
  /// Time from the first send to this one, and from there to its end.
  std::chrono::milliseconds sent_after{0};
  std::chrono::milliseconds took{0};
  callers::request_outcome outcome = callers::request_outcome::kUnknown;
  /// What the answer said, or why there was none.
  std::string answer;
};

/// One request as its caller saw it.
struct call_record {
  /// "account/key", as workers record it.
  std::string identifier;
  callers::request_outcome outcome = callers::request_outcome::kUnknown;
  /// Completed, but the answer was not the whole one of this request.
  bool wrong_answer = false;
  /// Answered after its deadline.
  bool late = false;
  std::chrono::milliseconds latency{0};
  /// The entry that got the last try.
  settings::endpoint entry;
  /// The last try ended without an answer, though its entry was reached.
  bool cut_off = false;
  /// When the last try ended, in wall time.
  std::int64_t ended_at_ms = 0;
  std::vector<call_try> tries;
};

/// What one account calls with.
struct caller_options {
  std::string account = "hotel-watch";
  std::string token = "hotel-watch-token";
  std::string service = "dispatch";
  std::chrono::milliseconds timeout{2000};
  /// Sends a key again, through another entry, after "unknown" and after no
  /// answer, each send with at most this much of the time; 0 does not.
  std::chrono::milliseconds repeat_after{0};
};

/// A caller that spreads its requests over the entries, as a balancer would,
/// and keeps its own account of the answers. Safe to use from several threads.
class caller {
 public:
  /// Whether the balancer sends requests to an entry now.
  using entry_filter = std::function<bool(const settings::endpoint&)>;

  /// Without a filter every entry gets requests.
  caller(std::vector<settings::endpoint> entries,
         caller_options options,
         std::uint64_t seed,
         entry_filter takes_requests = {});

  /// Sends one non-idempotent request with a key of its own and records what
  /// became of it. Not-run answers are sent again until the deadline.
  call_record SendCallout(const std::string& key);

  /// Submits a job; returns its identifier, or "" when it was not accepted.
  std::string SubmitJob(const std::string& template_name,
                        const std::string& key);

  /// Cancels a job; whether an entry confirmed it.
  bool CancelJob(const std::string& job_id);

  /// The state of a job; "" when no entry answered.
  std::string JobState(const std::string& job_id);

 private:
  void SendOnce(const std::string& key,
                std::chrono::milliseconds limit,
                bool first_send,
                call_record& record);
  std::size_t ChooseEntry();
  base::result<http::response> CallAnyEntry(const http::request& message,
                                            std::chrono::milliseconds timeout);

  const caller_options options_;
  const std::vector<settings::endpoint> addresses_;
  const entry_filter takes_requests_;
  std::vector<std::unique_ptr<http::client>> entries_;
  std::mutex mutex_;
  std::mt19937_64 random_;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_HARNESS_CALLER_H_
