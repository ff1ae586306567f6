#ifndef CHIVECRANK_COORDINATION_INSTANCE_LIST_H_
#define CHIVECRANK_COORDINATION_INSTANCE_LIST_H_

#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/types.h"

namespace chivecrank::coordination {

/// The platform's list of live and leaving instances. It may lag behind the
/// actual state.
class instance_list {
 public:
  virtual ~instance_list() = default;

  /// kUnavailable while the platform cannot be reached.
  virtual base::result<std::vector<instance>> List() = 0;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_INSTANCE_LIST_H_
