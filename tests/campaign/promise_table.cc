#include "promise_table.h"

#include <cstdio>
#include <utility>

namespace chivecrank::harness {
namespace {

constexpr std::array<std::string_view, kPromises> kNames = {
    "no worker committed beyond its capacity",
    "no task runs in two places at once",
    "evicted work resumes, and exactly once",
    "each caller gets the whole answer to its own request",
    "not run, when said, is true",
    "non-idempotent requests run at most once",
    "a leaving upstream gets nothing new after 3 s",
    "a planned stop cuts off no request in flight",
    "accepted configuration in force within 7 s, never back",
};

constexpr std::size_t kShownViolations = 10;
constexpr std::size_t kLineBytes = 128;

}  // namespace

std::string_view PromiseName(promise value) {
  return kNames[static_cast<std::size_t>(value)];
}

void promise_table::AddCases(promise which, std::int64_t count) {
  std::lock_guard lock(mutex_);
  rows_[static_cast<std::size_t>(which)].cases += count;
}

void promise_table::AddViolation(promise which, std::string what) {
  std::lock_guard lock(mutex_);
  rows_[static_cast<std::size_t>(which)].violations.push_back(std::move(what));
}

std::int64_t promise_table::Violations() const {
  std::lock_guard lock(mutex_);
  std::int64_t total = 0;
  for (const row& counted : rows_)
    total += static_cast<std::int64_t>(counted.violations.size());
  return total;
}

std::string promise_table::Describe() const {
  std::lock_guard lock(mutex_);
  std::string text = "  cases  violations  promise\n";
  for (std::size_t i = 0; i < kPromises; ++i) {
    std::array<char, kLineBytes> line{};
    std::snprintf(line.data(), line.size(), "%7lld  %10zu  %s\n",
                  static_cast<long long>(rows_[i].cases),
                  rows_[i].violations.size(), kNames[i].data());
    text += line.data();
  }
  for (std::size_t i = 0; i < kPromises; ++i) {
    const auto& seen = rows_[i].violations;
    for (std::size_t j = 0; j < seen.size() && j < kShownViolations; ++j)
      text += "violated: " + std::string(kNames[i]) + ": " + seen[j] + "\n";
  }
  return text;
}

}  // namespace chivecrank::harness
