#include "harness/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace chivecrank::harness {
namespace {

constexpr int kCannotExecute = 127;
constexpr int kSignalBase = 128;

[[noreturn]] void Execute(const std::vector<char*>& arguments, int output) {
  // The program must not outlive the test, however the test ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execv(arguments[0], arguments.data());
  _exit(kCannotExecute);
}

}  // namespace

child_process::child_process(const std::string& path,
                             const std::vector<std::string>& arguments,
                             const std::string& log) {
  std::vector<std::string> texts = {path};
  texts.insert(texts.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts)
    pointers.push_back(text.data());
  pointers.push_back(nullptr);
  const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  id_ = fork();
  if (id_ == 0)
    Execute(pointers, output);
  close(output);
}

child_process::~child_process() {
  Signal(SIGKILL);
  Wait();
}

void child_process::Signal(int number) {
  if (id_ > 0 && !exit_code_)
    kill(id_, number);
}

int child_process::Wait() {
  if (exit_code_ || id_ <= 0)
    return exit_code_.value_or(kCannotExecute);
  int status = 0;
  waitpid(id_, &status, 0);
  exit_code_ =
      WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  return *exit_code_;
}

}  // namespace chivecrank::harness
