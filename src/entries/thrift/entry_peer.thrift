namespace cpp chivecrank.entries.wire

/// Slots of one upstream that an entry lends.
struct slot_grant {
  1: i64 number
  2: string upstream_id
  3: i64 slots
}

/// Slots of a grant that the borrower has given back so far.
struct grant_return {
  1: i64 number
  2: i64 slots
}

/// What a borrower tells a lender. Terms of leases are part of the settings.
struct exchange_request {
  1: i64 borrower
  2: i64 wanted
  3: list<grant_return> returns
  4: list<i64> renewals
  5: i64 spare
}

/// What the lender answers.
struct exchange_answer {
  1: list<slot_grant> grants
  2: list<i64> renewed
  3: i64 spare
}

/// What an entry offers to the other entries.
service entry_peer {
  /// Slots lent, returned and prolonged. A lost answer costs the borrower the
  /// slots until their lease has passed, and nobody else anything.
  exchange_answer Exchange(1: exchange_request request)
}
