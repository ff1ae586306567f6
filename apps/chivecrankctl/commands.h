#ifndef CHIVECRANK_APPS_CHIVECRANKCTL_COMMANDS_H_
#define CHIVECRANK_APPS_CHIVECRANKCTL_COMMANDS_H_

#include <chrono>
#include <string>
#include <vector>

#include "admin_client.h"

namespace chivecrank::ctl {

/// Exit codes of chivecrankctl, for scripts.
enum class exit_code : int {
  kOk = 0,
  kFailed = 1,
  kBadUsage = 2,
  kRefused = 3,
  kConflict = 4,
  kUnavailable = 5,
  /// Accepted, but not in force everywhere when the wait ended.
  kNotInForce = 6,
};

/// How results are printed.
enum class output_format { kTable, kJson };

/// What every command works with.
struct command_context {
  admin_client& admin;
  output_format format = output_format::kTable;
  std::string comment;
  /// Check and compare, but change nothing.
  bool dry_run = false;
  /// Return only when the change is in force everywhere, or after `wait_limit`.
  bool wait = false;
  std::chrono::milliseconds wait_limit{60'000};
};

using arguments_list = std::vector<std::string>;

/// Runs the command that `arguments` name.
exit_code RunCommand(command_context& context, const arguments_list& arguments);

}  // namespace chivecrank::ctl

#endif  // CHIVECRANK_APPS_CHIVECRANKCTL_COMMANDS_H_
