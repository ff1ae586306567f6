#include "explain_command.h"

#include <fstream>
#include <iostream>

#include "chivecrank/event_log/submission_history.h"

namespace chivecrank::ctl {

exit_code Explain(output_format format,
                  const std::vector<std::string>& arguments) {
  if (arguments.size() < 3) {
    std::cerr << "usage: chivecrankctl explain SUBMISSION LOG...\n";
    return exit_code::kBadUsage;
  }
  event_log::history_reader reader(arguments[1]);
  for (std::size_t i = 2; i < arguments.size(); ++i) {
    std::ifstream log(arguments[i]);
    if (!log) {
      std::cerr << arguments[i] << ": can't be read; give the path of a log\n";
      return exit_code::kBadUsage;
    }
    reader.Read(log);
  }
  const event_log::submission_history history = reader.Finish();
  std::cout << (format == output_format::kJson
                    ? event_log::ToJson(history) + "\n"
                    : event_log::ToText(history));
  return history.events.empty() ? exit_code::kFailed : exit_code::kOk;
}

}  // namespace chivecrank::ctl
