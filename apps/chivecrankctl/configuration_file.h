#ifndef CHIVECRANK_APPS_CHIVECRANKCTL_CONFIGURATION_FILE_H_
#define CHIVECRANK_APPS_CHIVECRANKCTL_CONFIGURATION_FILE_H_

#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/http/json.h"

namespace chivecrank::ctl {

/// Reads a TOML configuration file as the JSON content that the API takes.
/// kInvalidArgument names the file, the line and the remedy.
base::result<http::json_object> ReadConfigurationFile(const std::string& path);

}  // namespace chivecrank::ctl

#endif  // CHIVECRANK_APPS_CHIVECRANKCTL_CONFIGURATION_FILE_H_
