#include "configuration_file.h"

#include <toml++/toml.h>

#include <sstream>

namespace chivecrank::ctl {

base::result<http::json_object> ReadConfigurationFile(const std::string& path) {
  try {
    const toml::table table = toml::parse_file(path);
    std::ostringstream json;
    json << toml::json_formatter(table);
    return http::ParseObject(json.str());
  } catch (const toml::parse_error& failure) {
    return base::error{base::error_kind::kInvalidArgument,
                       path + ":" +
                           std::to_string(failure.source().begin.line) + ": " +
                           std::string(failure.description()),
                       "correct the TOML at this line"};
  }
}

}  // namespace chivecrank::ctl
