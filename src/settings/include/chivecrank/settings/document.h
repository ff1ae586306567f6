#ifndef CHIVECRANK_SETTINGS_DOCUMENT_H_
#define CHIVECRANK_SETTINGS_DOCUMENT_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/settings/section.h"
#include "chivecrank/settings/types.h"

namespace chivecrank::settings {

/// A settings file and the faults found in it so far.
class document {
 public:
  /// Reads and parses the file at `path`.
  static document FromFile(const std::string& path);
  /// Parses `text`, naming it `name` in messages.
  static document FromText(std::string_view text, std::string name);

  /// The top table.
  section Root();

  /// All faults, including a problem for every key that no getter asked for.
  /// Call it once, after the whole file has been read.
  std::vector<problem> Finish();

 private:
  explicit document(std::shared_ptr<internal::document_state> state);

  std::shared_ptr<internal::document_state> state_;
};

}  // namespace chivecrank::settings

#endif  // CHIVECRANK_SETTINGS_DOCUMENT_H_
