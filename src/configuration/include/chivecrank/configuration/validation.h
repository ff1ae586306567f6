#ifndef CHIVECRANK_CONFIGURATION_VALIDATION_H_
#define CHIVECRANK_CONFIGURATION_VALIDATION_H_

#include <string>
#include <vector>

#include "chivecrank/configuration/types.h"

namespace chivecrank::configuration {

/// One fault of a configuration: where, the value found, and what to do.
struct fault {
  std::string key;
  std::string value;
  std::string remedy;
};

/// All faults of a configuration as a whole; empty when it can be accepted.
std::vector<fault> Validate(const content& all);

/// "key: value; remedy", a fault a line.
std::string Describe(const std::vector<fault>& faults);

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_VALIDATION_H_
