#ifndef CHIVECRANK_CONFIGURATION_VIEW_H_
#define CHIVECRANK_CONFIGURATION_VIEW_H_

#include "chivecrank/configuration/types.h"

namespace chivecrank::configuration {

/// The configuration in force in this process. Safe to use from several
/// threads.
class view {
 public:
  virtual ~view() = default;

  /// Null until the newest accepted configuration is known. The revision
  /// never goes back.
  virtual shared_snapshot Current() const = 0;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_VIEW_H_
