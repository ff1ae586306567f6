namespace cpp chivecrank.membership.wire

/// The claim of a process about the status of a member.
struct rumor {
  1: string id
  2: i32 status
  3: i64 incarnation
}

/// The state that two processes exchange: the newest version of the configuration
/// known to the sender, the version that it uses, the time since the store last
/// confirmed the newest version, and some rumors.
struct digest {
  1: string sender
  2: string host
  3: i32 port
  4: i64 version
  5: i64 confirmed_age_ms
  6: list<rumor> rumors
  7: i64 in_force
}

/// The process does not have the requested version.
exception not_held {
  1: string message
}

/// Gossip service that each process of the system provides to the others.
service gossip_peer {
  digest Exchange(1: digest mine)
  string Fetch(1: i64 version) throws (1: not_held failure)
  bool Relay(1: string host, 2: i32 port)
}
