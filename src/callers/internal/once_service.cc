#include "chivecrank/callers/once_service.h"

#include <xxhash.h>

#include "chivecrank/http/json.h"

namespace chivecrank::callers {
namespace {

using idempotency::log_entry_kind;
using idempotency::verdict;

/// A larger answer is not recorded; a repeat is then told "unknown".
constexpr std::size_t kRecordedBytes = std::size_t{64} * 1024;
constexpr std::chrono::milliseconds kDescribeLimit{1000};

std::uint64_t Fingerprint(const caller_request& request) {
  const std::string text = request.message.method + "\n" + request.service +
                           "\n" + request.target + "\n" + request.message.body;
  return XXH64(text.data(), text.size(), 0);
}

std::string RequestId(const std::string& account, const std::string& key) {
  return account + "/" + key;
}

caller_answer Refusal(request_outcome outcome,
                      base::error_kind kind,
                      const std::string& message,
                      const std::string& remedy) {
  return {outcome, http::ErrorResponse({kind, message, remedy})};
}

log_entry_kind EndOf(const caller_answer& answer) {
  if (answer.outcome == request_outcome::kNotRun)
    return log_entry_kind::kWithdrawn;
  const bool whole = answer.outcome == request_outcome::kCompleted &&
                     answer.response.body.size() <= kRecordedBytes;
  return whole ? log_entry_kind::kCompleted : log_entry_kind::kUnknown;
}

}  // namespace

once_service::once_service(base::clock& clock,
                           request_service& requests,
                           idempotency::request_gate& gate)
    : clock_(clock), requests_(requests), gate_(gate) {}

caller_answer once_service::Serve(const caller_request& request) {
  if (request.idempotent)
    return requests_.Serve(request);
  idempotency::arrival arrival{RequestId(request.account, request.key),
                               Fingerprint(request),
                               {},
                               request.first_send};
  const idempotency::decision decided = gate_.Admit(arrival, request.deadline);
  switch (decided.verdict) {
    case verdict::kRun:
      return ServeAdmitted(request, arrival);
    case verdict::kReplay:
      return {request_outcome::kCompleted, decided.answer};
    case verdict::kMismatch:
      return Refusal(request_outcome::kNotRun, base::error_kind::kConflict,
                     "the key came with another request before",
                     "give each request a key of its own");
    case verdict::kRefused:
      return Refusal(request_outcome::kNotRun,
                     base::error_kind::kResourceExhausted,
                     "the key could not be recorded before the deadline",
                     "send the request again");
    case verdict::kPending:
    case verdict::kUnknown:
      break;
  }
  return Refusal(request_outcome::kUnknown, base::error_kind::kOutcomeUnknown,
                 "the request may have run before and is not repeated",
                 "ask GET /v1/requests/KEY later, or ask the service");
}

caller_answer once_service::ServeAdmitted(
    const caller_request& request,
    const idempotency::arrival& admitted) {
  caller_answer answer = requests_.Serve(request);
  gate_.Finish({EndOf(answer), admitted.request_id, admitted.fingerprint,
                admitted.token, answer.response});
  return answer;
}

base::result<idempotency::key_report> once_service::Describe(
    const std::string& account,
    const std::string& key) {
  return gate_.Describe(RequestId(account, key), clock_.Now() + kDescribeLimit);
}

}  // namespace chivecrank::callers
