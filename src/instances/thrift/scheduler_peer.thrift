namespace cpp chivecrank.instances.wire

/// A typed error; `kind` is a name of chivecrank::base::error_kind.
exception call_failure {
  1: string kind
  2: string message
  3: string remedy
}

/// A job that an authenticated client account submits.
struct job_submission {
  1: string account
  2: string team
  3: string idempotency_key
  4: string template_name
}

/// Identifies a job of an account.
struct job_reference {
  1: string account
  2: string job_id
}

/// Current state of a job.
struct job_report {
  1: string job_id
  2: string template_name
  3: string state
  4: i32 attempts
  5: string worker_id
  6: string detail
}

/// Service that a scheduler provides to entries and to other schedulers.
/// `forwarded` is set by a scheduler that passes the call on to the owner of the
/// shard.
service scheduler_peer {
  job_report Submit(1: job_submission submission, 2: bool forwarded)
      throws (1: call_failure failure)
  job_report Describe(1: job_reference reference, 2: bool forwarded)
      throws (1: call_failure failure)
  job_report Cancel(1: job_reference reference, 2: bool forwarded)
      throws (1: call_failure failure)
}
