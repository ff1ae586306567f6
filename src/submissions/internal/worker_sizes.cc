#include "chivecrank/submissions/worker_sizes.h"

#include <absl/strings/str_format.h>

#include <algorithm>

#include "chivecrank/scheduling/resources.h"
#include "internal/placer.h"

namespace chivecrank::submissions {
namespace {

std::string Describe(const coordination::resources& amount) {
  return absl::StrFormat("%d millicores, %d MiB and %d accelerators",
                         amount.processors_milli, amount.memory_mib,
                         amount.accelerators);
}

base::error TooLarge(std::size_t step,
                     const coordination::resources& needed,
                     const std::vector<coordination::resources>& sizes) {
  std::string largest;
  for (const coordination::resources& size : sizes)
    largest += (largest.empty() ? "" : ", or ") + Describe(size);
  return {
      base::error_kind::kInvalidArgument,
      absl::StrFormat("each task of step %d asks for %s, which no worker has",
                      step, Describe(needed)),
      "ask for at most " + largest + " a task"};
}

}  // namespace

void worker_sizes::Add(const std::string& service,
                       const coordination::resources& size) {
  std::vector<coordination::resources>& known = sizes_[service];
  const bool is_covered = std::ranges::any_of(known, [&](const auto& other) {
    return scheduling::IsWithin(size, other);
  });
  if (is_covered)
    return;
  std::erase_if(known, [&](const auto& other) {
    return scheduling::IsWithin(other, size);
  });
  known.push_back(size);
}

void worker_sizes::Add(const worker_sizes& other) {
  for (const auto& [service, sizes] : other.sizes_)
    for (const coordination::resources& size : sizes)
      Add(service, size);
}

bool worker_sizes::Knows(const std::string& service) const {
  return sizes_.contains(service);
}

base::result<void> worker_sizes::Check(const submission& offered) const {
  const auto known = sizes_.find(offered.policy.service);
  if (known == sizes_.end())
    return base::Success();
  for (std::size_t i = 0; i < offered.steps.size(); ++i) {
    const coordination::resources needed =
        internal::ReservedBy(offered.steps[i]);
    const bool fits = std::ranges::any_of(known->second, [&](const auto& size) {
      return scheduling::IsWithin(needed, size);
    });
    if (!fits)
      return TooLarge(i, needed, known->second);
  }
  return base::Success();
}

}  // namespace chivecrank::submissions
