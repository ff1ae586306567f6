include "scheduler_peer.thrift"

namespace cpp chivecrank.instances.wire

struct header_field {
  1: string name
  2: string value
}

/// A whole HTTP answer.
struct http_answer {
  1: i32 code
  2: list<header_field> headers
  3: binary body
}

/// A request that asks the home of its key whether it may run.
struct request_arrival {
  1: string request_id
  2: i64 fingerprint
  3: string token
  4: bool first
  5: i64 remaining_ms
  6: i64 slice_ms
}

/// The names are those of chivecrank::idempotency::verdict.
struct request_decision {
  1: string verdict
  2: http_answer answer
}

/// How a request ended; the kinds are those of
/// chivecrank::idempotency::log_entry_kind.
struct request_end {
  1: string kind
  2: string request_id
  3: i64 fingerprint
  4: string token
  5: http_answer answer
}

/// The names are those of chivecrank::idempotency::key_state.
struct request_report {
  1: string state
  2: http_answer answer
}

/// What an entry offers to the other entries.
service entry_peer {
  request_decision Begin(1: request_arrival arrival)
      throws (1: scheduler_peer.call_failure failure)
  void Finish(1: request_end ended)
      throws (1: scheduler_peer.call_failure failure)
  request_report Describe(1: string request_id)
      throws (1: scheduler_peer.call_failure failure)
  void Ping()
}
