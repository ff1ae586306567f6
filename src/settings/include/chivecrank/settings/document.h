#ifndef CHIVECRANK_SETTINGS_DOCUMENT_H_
#define CHIVECRANK_SETTINGS_DOCUMENT_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/settings/section.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::settings {

/// A parsed settings file and the problems found in it so far.
class document {
 public:
  /// Reads and parses the file at `path`.
  static document FromFile(const std::string& path);
  /// Parses `text`; messages use `name` as its file name.
  static document FromText(std::string_view text, std::string name);

  /// The root table.
  section Root();

  /// Returns all problems, including one for every key that no getter was
  /// called for. Call it once, after all settings were read.
  std::vector<problem> Finish();

 private:
  explicit document(std::shared_ptr<internal::document_state> state);

  std::shared_ptr<internal::document_state> state_;
};

}  // namespace chivecrank::settings

#endif  // CHIVECRANK_SETTINGS_DOCUMENT_H_
