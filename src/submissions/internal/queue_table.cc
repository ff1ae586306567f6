#include "chivecrank/submissions/queue_table.h"

#include <algorithm>

namespace chivecrank::submissions {

const queue_route* queue_table::Match(std::string_view host,
                                      std::string_view path) const {
  const queue_route* best = nullptr;
  for (const queue_route& route : routes) {
    if (route.host != host || !path.starts_with(route.path_prefix))
      continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size())
      best = &route;
  }
  return best;
}

const queue_route* queue_table::Find(std::string_view name) const {
  for (const queue_route& route : routes)
    if (route.name == name)
      return &route;
  return nullptr;
}

bool queue_table::NamesService(const std::string& service) const {
  return services.contains(service) ||
         std::ranges::any_of(routes, [&](const queue_route& route) {
           return route.policy.service == service;
         });
}

}  // namespace chivecrank::submissions
