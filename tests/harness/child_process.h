#ifndef CHIVECRANK_TESTS_HARNESS_CHILD_PROCESS_H_
#define CHIVECRANK_TESTS_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace chivecrank::harness {

/// A program that a test started. It is killed when this object goes or the
/// test ends in any way.
class child_process {
 public:
  /// Starts `path`; its output goes to the file `log`.
  child_process(const std::string& path,
                const std::vector<std::string>& arguments,
                const std::string& log);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Sends a signal; does nothing once the program has ended.
  void Signal(int number);

  /// Waits for the end and returns the exit code, or 128 + the signal.
  int Wait();

  pid_t id() const { return id_; }

 private:
  pid_t id_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_HARNESS_CHILD_PROCESS_H_
