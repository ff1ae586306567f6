#include "internal/full_shapes.h"

#include <algorithm>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::submissions::internal {

void full_shapes::Add(const placement_request& request, std::int32_t count) {
  if (IsGeneral(request, count) && !Covers(request, count))
    full_.push_back({ShapeOf(request), request.step->demand, count});
}

bool full_shapes::Covers(const placement_request& request,
                         std::int32_t count) const {
  if (full_.empty() || !IsGeneral(request, count))
    return false;
  const shape wanted = ShapeOf(request);
  return std::ranges::any_of(full_, [&](const full_shape& full) {
    return full.count <= count &&
           scheduling::IsWithin(full.demand, request.step->demand) &&
           full.of == wanted;
  });
}

full_shapes::shape full_shapes::ShapeOf(const placement_request& request) {
  const step_request& step = *request.step;
  // Only for filling tasks it matters which image they run.
  return {.service = *request.service,
          .image = step.best_effort ? request.image : image_number{0},
          .fills = step.best_effort,
          .lasting = step.long_running,
          .required_label = step.required_label,
          .most_per_worker = step.max_per_worker,
          .rack = request.rack};
}

bool full_shapes::IsGeneral(const placement_request& request,
                            std::int32_t count) {
  const bool whole_step = count == request.step->task_count;
  const bool bound_by_itself = request.step->max_per_worker > 0 && !whole_step;
  return request.progress->run == 0 && !bound_by_itself &&
         request.permits == nullptr;
}

}  // namespace chivecrank::submissions::internal
