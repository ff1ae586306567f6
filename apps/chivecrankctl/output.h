#ifndef CHIVECRANK_APPS_CHIVECRANKCTL_OUTPUT_H_
#define CHIVECRANK_APPS_CHIVECRANKCTL_OUTPUT_H_

#include <string>
#include <vector>

#include "commands.h"

namespace chivecrank::ctl {

/// Prints an error and returns the exit code for it.
exit_code Report(const base::error& failure);

/// Prints a body as indented JSON.
void PrintJson(const http::json_object& body);

/// Prints the list `key` of a body as JSON or as a table of `columns`.
void PrintList(const command_context& context,
               const http::json_object& body,
               const std::string& key,
               const std::vector<std::string>& columns);

}  // namespace chivecrank::ctl

#endif  // CHIVECRANK_APPS_CHIVECRANKCTL_OUTPUT_H_
