#ifndef CHIVECRANK_CONFIGURATION_VALIDATION_H_
#define CHIVECRANK_CONFIGURATION_VALIDATION_H_

#include <string>
#include <vector>

#include "chivecrank/configuration/types.h"

namespace chivecrank::configuration {

/// A validation error: the invalid key, its value and how to correct it.
struct validation_error {
  std::string key;
  std::string value;
  std::string remedy;
};

/// Returns all validation errors of a configuration; empty if it is valid.
std::vector<validation_error> Validate(const content& all);

/// Formats the errors as "key: value; remedy", one per line.
std::string Describe(const std::vector<validation_error>& errors);

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_VALIDATION_H_
