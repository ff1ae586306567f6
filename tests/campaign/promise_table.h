#ifndef CHIVECRANK_TESTS_CAMPAIGN_PROMISE_TABLE_H_
#define CHIVECRANK_TESTS_CAMPAIGN_PROMISE_TABLE_H_

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace chivecrank::harness {

/// What must always hold, in the order of the users' list.
enum class promise {
  kNoOvercommit,
  kNotInTwoPlaces,
  kEvictedResumesOnce,
  kWholeOwnAnswer,
  kNotRunIsTrue,
  kAtMostOnce,
  kLeavingGetsNothingNew,
  kGracefulShutdown,
  kConfigurationInForce,
};

inline constexpr std::size_t kPromises = 9;

std::string_view PromiseName(promise value);

/// Counts the cases tried and the violations of each promise.
/// Safe to use from several threads.
class promise_table {
 public:
  void AddCases(promise which, std::int64_t count);
  void AddViolation(promise which, std::string what);

  std::int64_t Violations() const;

  /// The table, and under it what was seen of each violation.
  std::string Describe() const;

 private:
  struct row {
    std::int64_t cases = 0;
    std::vector<std::string> violations;
  };

  mutable std::mutex mutex_;
  std::array<row, kPromises> rows_;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_CAMPAIGN_PROMISE_TABLE_H_
