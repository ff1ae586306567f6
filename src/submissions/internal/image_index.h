#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_IMAGE_INDEX_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_IMAGE_INDEX_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

namespace chivecrank::submissions::internal {

/// Replaces an image's name where images are compared often.
using image_number = std::uint32_t;

/// Numbers the images of a shard, from 0.
class image_index {
 public:
  /// Returns the number of an image; assigns the next number to a new name.
  image_number NumberOf(const std::string& name) {
    const auto [found, is_new] =
        numbers_.try_emplace(name, static_cast<image_number>(names_.size()));
    if (is_new)
      names_.push_back(name);
    return found->second;
  }

  const std::string& NameOf(image_number number) const {
    return names_[number];
  }

 private:
  absl::flat_hash_map<std::string, image_number> numbers_;
  std::vector<std::string> names_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_IMAGE_INDEX_H_
