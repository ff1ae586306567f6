#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_FULL_SHAPES_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_FULL_SHAPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "internal/placer.h"

namespace chivecrank::submissions::internal {

/// Remembers, for one round of choices, which steps found no room. Room only
/// shrinks within a round, so steps that ask for as much or more needn't look
/// again.
class full_shapes {
 public:
  void Clear() { full_.clear(); }
  /// `count` tasks like this one found no room together.
  void Add(const placement_request& request, std::int32_t count);
  /// Whether `count` tasks like this one can't find room either.
  bool Covers(const placement_request& request, std::int32_t count) const;

 private:
  /// What decides, beside its demand, where a task that never ran can go.
  struct shape {
    std::string service;
    image_number image = 0;
    bool fills = false;
    bool lasting = false;
    std::string required_label;
    std::int32_t most_per_worker = 0;
    std::string rack;

    bool operator==(const shape&) const = default;
  };
  struct full_shape {
    shape of;
    coordination::resources demand;
    std::int32_t count = 0;
  };

  static shape ShapeOf(const placement_request& request);
  /// Whether the answer depends on nothing but the shape.
  static bool IsGeneral(const placement_request& request, std::int32_t count);

  std::vector<full_shape> full_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_FULL_SHAPES_H_
