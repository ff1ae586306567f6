#ifndef CHIVECRANK_PROCESS_PROGRAM_H_
#define CHIVECRANK_PROCESS_PROGRAM_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/settings/document.h"

/// Common parts of all daemons: flags, settings, log, signals, status server.
namespace chivecrank::process {

enum class exit_code : int {
  kOk = 0,
  kFailed = 1,
  kBadSettings = 2,
};

/// Parses the flags, including --help and --version, initializes the log to
/// standard error and blocks the stop signals. Returns the positional
/// arguments.
std::vector<std::string> Initialize(std::string_view name,
                                    std::string_view summary,
                                    int argc,
                                    char** argv);

/// Runs a daemon: reads the settings file given by --settings, or else the one
/// at `fallback_path`, with `read`. Prints all problems and returns
/// kBadSettings if there are any, returns kOk if --check_settings is set, and
/// otherwise returns the result of `run`.
int RunDaemon(const std::function<void(settings::section&)>& read,
              const std::function<exit_code()>& run,
              const std::string& fallback_path = {});

}  // namespace chivecrank::process

#endif  // CHIVECRANK_PROCESS_PROGRAM_H_
