namespace cpp chivecrank.entries.wire

/// Slots of one upstream that an entry lends.
struct slot_grant {
  1: i64 number
  2: string upstream_id
  3: i64 slots
}

/// Number of a grant's slots that the borrower has returned so far.
struct grant_return {
  1: i64 number
  2: i64 slots
}

/// Message of a borrower to a lender. Lease terms are part of the settings.
struct exchange_request {
  1: i64 borrower
  2: i64 wanted
  3: list<grant_return> returns
  4: list<i64> renewals
  5: i64 spare
}

/// Answer of the lender.
struct exchange_answer {
  1: list<slot_grant> grants
  2: list<i64> renewed
  3: i64 spare
}

/// Service of an entry for the other entries.
service entry_peer {
  /// Lends slots, takes them back and renews leases. If the answer is lost, the
  /// borrower can't use the slots lent in it, and the lender reclaims them after
  /// their lease; nothing else is affected.
  exchange_answer Exchange(1: exchange_request request)
}
