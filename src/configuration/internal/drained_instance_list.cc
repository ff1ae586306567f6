#include "chivecrank/configuration/drained_instance_list.h"

#include <algorithm>

namespace chivecrank::configuration {
namespace {

const std::string& NameIn(drain_scope scope,
                          const coordination::instance& worker) {
  switch (scope) {
    case drain_scope::kWorker:
      return worker.id;
    case drain_scope::kRack:
      return worker.rack;
    case drain_scope::kFailureDomain:
      break;
  }
  return worker.failure_domain;
}

}  // namespace

bool IsDrained(const content& all, const coordination::instance& worker) {
  return std::any_of(all.drains.begin(), all.drains.end(),
                     [&](const drain& drained) {
                       return NameIn(drained.scope, worker) == drained.name;
                     });
}

drained_instance_list::drained_instance_list(
    coordination::instance_list& source,
    const view& configured)
    : source_(source), configured_(configured) {}

base::result<std::vector<coordination::instance>>
drained_instance_list::List() {
  const shared_snapshot current = configured_.Current();
  if (!current) {
    return base::error{base::error_kind::kUnavailable,
                       "the configuration is not known yet",
                       "wait until the process is ready"};
  }
  BOOST_OUTCOME_TRY(listed, source_.List());
  for (coordination::instance& instance : listed) {
    if (instance.kind == coordination::instance_kind::kWorker &&
        IsDrained(current->content, instance)) {
      instance.state = coordination::instance_state::kLeaving;
    }
  }
  return listed;
}

}  // namespace chivecrank::configuration
