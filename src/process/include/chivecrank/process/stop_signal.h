#ifndef CHIVECRANK_PROCESS_STOP_SIGNAL_H_
#define CHIVECRANK_PROCESS_STOP_SIGNAL_H_

namespace chivecrank::process {

/// Blocks SIGTERM and SIGINT in this thread and in those that it starts, and
/// ignores SIGPIPE. Call it before any thread is started.
void BlockStopSignals();

/// Unblocks SIGTERM and SIGINT, for programs that these signals should
/// terminate.
void RestoreStopSignals();

/// Waits until SIGTERM or SIGINT arrives.
void WaitForStopSignal();

}  // namespace chivecrank::process

#endif  // CHIVECRANK_PROCESS_STOP_SIGNAL_H_
