#ifndef CHIVECRANK_SETTINGS_INTERNAL_STATE_H_
#define CHIVECRANK_SETTINGS_INTERNAL_STATE_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <toml++/toml.h>

#include "chivecrank/settings/types.h"

namespace chivecrank::settings::internal {

/// What a document and its sections share.
struct document_state {
  std::string file;
  toml::table root;
  std::vector<problem> problems;
  std::vector<std::shared_ptr<section_state>> sections;
};

/// A table of the document and the keys asked of it. `table` is null for an
/// optional table that is absent.
struct section_state {
  document_state* document = nullptr;
  const toml::table* table = nullptr;
  std::string prefix;
  std::set<std::string, std::less<>> known;
  /// False once the table itself was faulty, to avoid follow-up messages.
  bool report_missing = true;
};

}  // namespace chivecrank::settings::internal

#endif  // CHIVECRANK_SETTINGS_INTERNAL_STATE_H_
