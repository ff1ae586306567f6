#include "chivecrank/coordination/resilient_store_settings_reader.h"

namespace chivecrank::coordination {
namespace {

constexpr settings::integer_range kCallsPerSecond{1, 2000};
constexpr settings::integer_range kWaitingWatches{1, 1000};
/// Burst size of a class, in seconds of its rate.
constexpr double kBurstSeconds = 2;

rate_limit ReadRate(settings::section& budget,
                    call_class purpose,
                    const rate_limit& fallback) {
  const auto rate = static_cast<double>(
      budget.IntegerOr(CallClassName(purpose), kCallsPerSecond,
                       static_cast<std::int64_t>(fallback.per_second)));
  return {rate, rate * kBurstSeconds};
}

}  // namespace

resilient_store_settings ReadResilientStoreSettings(
    settings::section& platform_table) {
  settings::section budget = platform_table.TableOr("budget");
  resilient_store_settings read;
  read.ownership = ReadRate(budget, call_class::kOwnership, read.ownership);
  read.journal = ReadRate(budget, call_class::kJournal, read.journal);
  read.intent = ReadRate(budget, call_class::kIntent, read.intent);
  read.configuration =
      ReadRate(budget, call_class::kConfiguration, read.configuration);
  read.watch = ReadRate(budget, call_class::kWatch, read.watch);
  read.max_waiting_watches = static_cast<std::size_t>(
      budget.IntegerOr("waiting_watches", kWaitingWatches,
                       static_cast<std::int64_t>(read.max_waiting_watches)));
  return read;
}

}  // namespace chivecrank::coordination
