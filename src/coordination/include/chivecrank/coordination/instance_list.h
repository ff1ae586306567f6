#ifndef CHIVECRANK_COORDINATION_INSTANCE_LIST_H_
#define CHIVECRANK_COORDINATION_INSTANCE_LIST_H_

#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/types.h"

namespace chivecrank::coordination {

/// The platform's lagging list of live and leaving instances.
class instance_list {
 public:
  virtual ~instance_list() = default;

  /// The list as the platform has it now. kUnavailable during outages.
  virtual base::result<std::vector<instance>> List() = 0;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_INSTANCE_LIST_H_
