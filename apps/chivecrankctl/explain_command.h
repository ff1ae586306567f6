#ifndef CHIVECRANK_APPS_CHIVECRANKCTL_EXPLAIN_COMMAND_H_
#define CHIVECRANK_APPS_CHIVECRANKCTL_EXPLAIN_COMMAND_H_

#include <string>
#include <vector>

#include "output.h"

namespace chivecrank::ctl {

/// "explain ID LOG...": tells what became of a submission, and why, from the
/// logs of the instances. Needs no administration API.
exit_code Explain(output_format format,
                  const std::vector<std::string>& arguments);

}  // namespace chivecrank::ctl

#endif  // CHIVECRANK_APPS_CHIVECRANKCTL_EXPLAIN_COMMAND_H_
