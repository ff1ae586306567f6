#ifndef CHIVECRANK_PROCESS_PROGRAM_H_
#define CHIVECRANK_PROCESS_PROGRAM_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/settings/document.h"

/// What every daemon has in common: flags, settings, logs, signals, status.
namespace chivecrank::process {

/// Exit codes of the daemons.
enum class exit_code : int {
  kOk = 0,
  kFailed = 1,
  kBadSettings = 2,
};

/// Prepares flags, --help, --version and the log of a program. Returns the
/// positional arguments.
std::vector<std::string> Initialize(std::string_view name,
                                    std::string_view summary,
                                    int argc,
                                    char** argv);

/// Runs a daemon: reads the file of --settings through `read`, prints every
/// problem and returns kBadSettings if there are any, ends with kOk after
/// --check_settings, and otherwise returns what `run` returns. Without
/// --settings the file at `fallback_path` is read.
int RunDaemon(const std::function<void(settings::section&)>& read,
              const std::function<exit_code()>& run,
              const std::string& fallback_path = {});

}  // namespace chivecrank::process

#endif  // CHIVECRANK_PROCESS_PROGRAM_H_
