#ifndef CHIVECRANK_CONFIGURATION_DIFFERENCE_H_
#define CHIVECRANK_CONFIGURATION_DIFFERENCE_H_

#include <string>
#include <vector>

#include "chivecrank/configuration/types.h"

namespace chivecrank::configuration {

enum class difference_kind { kAdded, kRemoved, kChanged };

std::string_view DifferenceKindName(difference_kind value);

/// An element that differs between two configurations.
struct difference {
  difference_kind kind = difference_kind::kChanged;
  /// "services", "jobs", "accounts", "teams" or "drains".
  std::string section;
  std::string name;
};

/// Returns the differences between two configurations, section by section.
std::vector<difference> Compare(const content& from, const content& to);

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_DIFFERENCE_H_
