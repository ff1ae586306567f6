#ifndef CHIVECRANK_SETTINGS_INTERNAL_STATE_H_
#define CHIVECRANK_SETTINGS_INTERNAL_STATE_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <toml++/toml.h>

#include "chivecrank/settings/types.h"

namespace chivecrank::settings::internal {

/// State shared by a document and its sections.
struct document_state {
  std::string file;
  toml::table root;
  std::vector<problem> problems;
  std::vector<std::shared_ptr<section_state>> sections;
};

/// A table of the document and the keys that getters were called for. `table`
/// is null when it is absent or of another type.
struct section_state {
  document_state* document = nullptr;
  const toml::table* table = nullptr;
  std::string prefix;
  std::set<std::string, std::less<>> known_keys;
  /// False when a required table is missing, or the table or the whole file is
  /// malformed, so that its keys aren't reported as missing too.
  bool report_missing = true;
};

}  // namespace chivecrank::settings::internal

#endif  // CHIVECRANK_SETTINGS_INTERNAL_STATE_H_
