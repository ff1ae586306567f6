#ifndef CHIVECRANK_PROCESS_SIGNAL_FLAGS_H_
#define CHIVECRANK_PROCESS_SIGNAL_FLAGS_H_

namespace chivecrank::process {

/// For programs with an event loop of their own: SIGTERM, SIGINT and SIGHUP
/// only set flags that the loop asks for. One per process.
class signal_flags {
 public:
  signal_flags();

  /// SIGTERM or SIGINT has arrived.
  bool StopWanted() const;
  /// SIGHUP has arrived since the last call.
  bool TakeReload();
};

}  // namespace chivecrank::process

#endif  // CHIVECRANK_PROCESS_SIGNAL_FLAGS_H_
