#include "internal/entry_codec.h"

namespace chivecrank::instances::internal {
namespace {

wire::http_answer EncodeAnswer(const http::response& answer) {
  wire::http_answer encoded;
  encoded.code = answer.code;
  for (const http::header& field : answer.headers) {
    wire::header_field& copy = encoded.headers.emplace_back();
    copy.name = field.name;
    copy.value = field.value;
  }
  encoded.body = answer.body;
  return encoded;
}

http::response DecodeAnswer(const wire::http_answer& encoded) {
  http::response answer{encoded.code, {}, encoded.body};
  for (const wire::header_field& field : encoded.headers)
    answer.headers.push_back({field.name, field.value});
  return answer;
}

}  // namespace

wire::request_arrival ToWire(const idempotency::arrival& request,
                             idempotency::time_limits limits) {
  wire::request_arrival encoded;
  encoded.request_id = request.request_id;
  encoded.fingerprint = static_cast<std::int64_t>(request.fingerprint);
  encoded.token = request.token;
  encoded.first = request.is_first_attempt;
  encoded.remaining_ms = limits.remaining.count();
  encoded.slice_ms = limits.poll_timeout.count();
  return encoded;
}

idempotency::arrival FromWire(const wire::request_arrival& encoded) {
  return {encoded.request_id, static_cast<std::uint64_t>(encoded.fingerprint),
          encoded.token, encoded.first};
}

idempotency::time_limits LimitsOf(const wire::request_arrival& encoded) {
  return {std::chrono::milliseconds(encoded.remaining_ms),
          std::chrono::milliseconds(encoded.slice_ms)};
}

wire::request_decision ToWire(const idempotency::decision& decided) {
  wire::request_decision encoded;
  encoded.verdict = idempotency::VerdictName(decided.verdict);
  encoded.answer = EncodeAnswer(decided.answer);
  return encoded;
}

idempotency::decision FromWire(const wire::request_decision& encoded) {
  return {idempotency::VerdictFromName(encoded.verdict),
          DecodeAnswer(encoded.answer)};
}

wire::request_end ToWire(const idempotency::log_entry& ended) {
  wire::request_end encoded;
  encoded.kind = idempotency::LogEntryKindName(ended.kind);
  encoded.request_id = ended.request_id;
  encoded.fingerprint = static_cast<std::int64_t>(ended.fingerprint);
  encoded.token = ended.token;
  encoded.answer = EncodeAnswer(ended.answer);
  return encoded;
}

idempotency::log_entry FromWire(const wire::request_end& encoded) {
  return {idempotency::LogEntryKindFromName(encoded.kind), encoded.request_id,
          static_cast<std::uint64_t>(encoded.fingerprint), encoded.token,
          DecodeAnswer(encoded.answer)};
}

wire::request_report ToWire(const idempotency::key_report& report) {
  wire::request_report encoded;
  encoded.state = idempotency::KeyStateName(report.state);
  encoded.answer = EncodeAnswer(report.answer);
  return encoded;
}

idempotency::key_report FromWire(const wire::request_report& encoded) {
  return {idempotency::KeyStateFromName(encoded.state),
          DecodeAnswer(encoded.answer)};
}

}  // namespace chivecrank::instances::internal
