#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_INFEASIBILITY_CACHE_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_INFEASIBILITY_CACHE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "internal/placer.h"

namespace chivecrank::submissions::internal {

/// Remembers which requests found no capacity in the current planning round,
/// whatever runs their tasks had before. Capacity only shrinks within a round,
/// so requests for as much or more can be skipped.
class infeasibility_cache {
 public:
  void Clear() { infeasible_.clear(); }
  /// Records that `count` tasks like this one found no capacity together, and
  /// would not have found it without their earlier runs either.
  void Add(const placement_request& request, std::int32_t count);
  /// Whether `count` tasks like this one can't find capacity either.
  bool Covers(const placement_request& request, std::int32_t count) const;

 private:
  /// Everything besides the demand and the task's earlier runs that decides
  /// where it can be placed.
  struct request_shape {
    std::string service;
    image_number image = 0;
    bool best_effort = false;
    bool long_running = false;
    std::string required_label;
    std::int32_t max_per_worker = 0;
    std::string rack;
    bool has_waited = false;

    bool operator==(const request_shape&) const = default;
  };
  struct infeasible_shape {
    request_shape shape;
    coordination::resources demand;
    std::int32_t count = 0;
  };

  static request_shape ShapeOf(const placement_request& request);
  /// Whether feasibility depends only on the shape and the demand.
  static bool IsGeneral(const placement_request& request, std::int32_t count);

  std::vector<infeasible_shape> infeasible_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_INFEASIBILITY_CACHE_H_
