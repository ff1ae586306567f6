#include "chivecrank/runtime/worker_witnesses.h"

#include <algorithm>
#include <utility>

namespace chivecrank::runtime {
namespace {

/// Most workers: two of three.
constexpr std::size_t kMostNumerator = 2;
constexpr std::size_t kMostDenominator = 3;

bool AreMost(std::size_t some, std::size_t all) {
  return all > 0 && some * kMostDenominator >= all * kMostNumerator;
}

}  // namespace

void worker_witnesses::SetWorkers(std::set<std::string> workers) {
  workers_ = std::move(workers);
  std::erase_if(asked_at_, [this](const auto& entry) {
    return !workers_.contains(entry.first);
  });
}

void worker_witnesses::OnAnswer(const std::string& worker,
                                base::time_point requested_at) {
  if (!workers_.contains(worker))
    return;
  base::time_point& newest = asked_at_[worker];
  newest = std::max(newest, requested_at);
}

bool worker_witnesses::AreMostSince(base::time_point since) const {
  if (!AreMost(asked_at_.size(), workers_.size()))
    return false;
  const auto answered = std::ranges::count_if(
      asked_at_, [since](const auto& entry) { return entry.second >= since; });
  return AreMost(static_cast<std::size_t>(answered), workers_.size());
}

}  // namespace chivecrank::runtime
