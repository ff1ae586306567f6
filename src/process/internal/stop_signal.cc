#include "chivecrank/process/stop_signal.h"

#include <csignal>

namespace chivecrank::process {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void RestoreStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace chivecrank::process
