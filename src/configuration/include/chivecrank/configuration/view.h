#ifndef CHIVECRANK_CONFIGURATION_VIEW_H_
#define CHIVECRANK_CONFIGURATION_VIEW_H_

#include "chivecrank/configuration/types.h"

namespace chivecrank::configuration {

/// The active configuration of this process. Thread-safe.
class view {
 public:
  virtual ~view() = default;

  /// Null until the newest accepted configuration is known. The revision never
  /// decreases.
  virtual shared_snapshot Current() const = 0;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_VIEW_H_
