#ifndef CHIVECRANK_CONFIGURATION_DRAINED_INSTANCE_LIST_H_
#define CHIVECRANK_CONFIGURATION_DRAINED_INSTANCE_LIST_H_

#include <vector>

#include "chivecrank/configuration/view.h"
#include "chivecrank/coordination/instance_list.h"

namespace chivecrank::configuration {

/// Whether there is a drain for a worker, its rack or its failure domain.
bool IsDrained(const content& all, const coordination::instance& worker);

/// An instance list in which drained workers have the state kLeaving: they get
/// no new work, and running work can finish. kUnavailable until the
/// configuration is known.
class drained_instance_list final : public coordination::instance_list {
 public:
  drained_instance_list(coordination::instance_list& source,
                        const view& configured);

  base::result<std::vector<coordination::instance>> List() override;

 private:
  coordination::instance_list& source_;
  const view& configured_;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_DRAINED_INSTANCE_LIST_H_
