#include "chivecrank/callers/once_service.h"

#include <xxhash.h>

#include "chivecrank/http/json.h"

namespace chivecrank::callers {
namespace {

using idempotency::log_entry_kind;
using idempotency::verdict;

/// A larger answer is not recorded; a retry then gets the outcome "unknown".
constexpr std::size_t kMaxRecordedBytes = std::size_t{64} * 1024;
constexpr std::chrono::milliseconds kDescribeTimeout{1000};

std::uint64_t Fingerprint(const caller_request& request) {
  const std::string text = request.message.method + "\n" + request.service +
                           "\n" + request.target + "\n" + request.message.body;
  return XXH64(text.data(), text.size(), 0);
}

std::string RequestId(const std::string& account, const std::string& key) {
  return account + "/" + key;
}

caller_answer Reject(request_outcome outcome,
                     base::error_kind kind,
                     const std::string& message,
                     const std::string& remedy) {
  return {outcome, http::ErrorResponse({kind, message, remedy})};
}

log_entry_kind LogEntryKindOf(const caller_answer& answer) {
  if (answer.outcome == request_outcome::kNotRun)
    return log_entry_kind::kWithdrawn;
  const bool recordable = answer.outcome == request_outcome::kCompleted &&
                          answer.response.body.size() <= kMaxRecordedBytes;
  return recordable ? log_entry_kind::kCompleted : log_entry_kind::kUnknown;
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
      return Reject(request_outcome::kNotRun, base::error_kind::kConflict,
                    "the key was already used for a different request",
                    "use a separate key for each request");
    case verdict::kRefused:
      return Reject(request_outcome::kNotRun,
                    base::error_kind::kResourceExhausted,
                    "the key could not be recorded before the deadline",
                    "send the request again");
    case verdict::kPending:
    case verdict::kUnknown:
      break;
  }
  return Reject(request_outcome::kUnknown, base::error_kind::kOutcomeUnknown,
                "an earlier attempt may have run; the request is not retried",
                "query GET /v1/requests/KEY later, or check with the service");
}

caller_answer once_service::ServeAdmitted(
    const caller_request& request,
    const idempotency::arrival& admitted) {
  caller_answer answer = requests_.Serve(request);
  gate_.Finish({LogEntryKindOf(answer), admitted.request_id,
                admitted.fingerprint, admitted.token, answer.response});
  return answer;
}

base::result<idempotency::key_report> once_service::Describe(
    const std::string& account,
    const std::string& key) {
  return gate_.Describe(RequestId(account, key),
                        clock_.Now() + kDescribeTimeout);
}

}  // namespace chivecrank::callers
