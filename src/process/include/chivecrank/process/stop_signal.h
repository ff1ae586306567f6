#ifndef CHIVECRANK_PROCESS_STOP_SIGNAL_H_
#define CHIVECRANK_PROCESS_STOP_SIGNAL_H_

namespace chivecrank::process {

/// Blocks SIGTERM and SIGINT in this thread and those started after it, and
/// ignores SIGPIPE. Call it before any thread is started.
void BlockStopSignals();

/// Undoes BlockStopSignals, for programs that SIGTERM and SIGINT just end.
void RestoreStopSignals();

/// Waits until SIGTERM or SIGINT arrives.
void WaitForStopSignal();

}  // namespace chivecrank::process

#endif  // CHIVECRANK_PROCESS_STOP_SIGNAL_H_
