#ifndef CHIVECRANK_PROCESS_SIGNAL_FLAGS_H_
#define CHIVECRANK_PROCESS_SIGNAL_FLAGS_H_

namespace chivecrank::process {

/// For programs that run an event loop: the handlers of SIGTERM, SIGINT and
/// SIGHUP only set flags, which the loop polls. One per process.
class signal_flags {
 public:
  signal_flags();

  /// Whether SIGTERM or SIGINT arrived.
  bool StopWanted() const;
  /// Whether SIGHUP arrived since the last call.
  bool TakeReload();
};

}  // namespace chivecrank::process

#endif  // CHIVECRANK_PROCESS_SIGNAL_FLAGS_H_
