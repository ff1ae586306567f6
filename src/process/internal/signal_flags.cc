#include "chivecrank/process/signal_flags.h"

#include <atomic>
#include <csignal>

#include "chivecrank/process/stop_signal.h"

namespace chivecrank::process {
namespace {

std::atomic<bool> stop_requested = false;
std::atomic<bool> reload_requested = false;

void OnSignal(int number) {
  if (number == SIGHUP)
    reload_requested = true;
  else
    stop_requested = true;
}

}  // namespace

signal_flags::signal_flags() {
  RestoreStopSignals();
  struct sigaction action = {};
  action.sa_handler = OnSignal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGHUP, &action, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

bool signal_flags::StopWanted() const {
  return stop_requested;
}

bool signal_flags::TakeReload() {
  return reload_requested.exchange(false);
}

}  // namespace chivecrank::process
