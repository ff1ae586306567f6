#include "internal/infeasibility_cache.h"

#include <algorithm>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::submissions::internal {

void infeasibility_cache::Add(const placement_request& request,
                              std::int32_t count) {
  if (IsGeneral(request, count) && !Covers(request, count))
    infeasible_.push_back({ShapeOf(request), request.step->demand, count});
}

bool infeasibility_cache::Covers(const placement_request& request,
                                 std::int32_t count) const {
  if (infeasible_.empty() || !IsGeneral(request, count))
    return false;
  const request_shape shape = ShapeOf(request);
  return std::ranges::any_of(
      infeasible_, [&](const infeasible_shape& infeasible) {
        return infeasible.count <= count &&
               scheduling::IsWithin(infeasible.demand, request.step->demand) &&
               infeasible.shape == shape;
      });
}

infeasibility_cache::request_shape infeasibility_cache::ShapeOf(
    const placement_request& request) {
  const step_request& step = *request.step;
  // The image matters only for best-effort tasks.
  return {.service = *request.service,
          .image = step.best_effort ? request.image : image_number{0},
          .best_effort = step.best_effort,
          .long_running = step.long_running,
          .required_label = step.required_label,
          .max_per_worker = step.max_per_worker,
          .rack = request.rack,
          .has_waited = request.has_waited};
}

bool infeasibility_cache::IsGeneral(const placement_request& request,
                                    std::int32_t count) {
  const bool whole_step = count == request.step->task_count;
  const bool limited_per_worker =
      request.step->max_per_worker > 0 && !whole_step;
  return !limited_per_worker && request.permits == nullptr;
}

}  // namespace chivecrank::submissions::internal
