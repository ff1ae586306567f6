#ifndef CHIVECRANK_OBJECTIVES_METRICS_TEXT_H_
#define CHIVECRANK_OBJECTIVES_METRICS_TEXT_H_

#include <string_view>
#include <vector>

#include "chivecrank/objectives/types.h"

namespace chivecrank::objectives {

/// Parses the request counters from the text that the daemon `source` serves on
/// /metrics. Other metrics are ignored. `at_ms` is the sample time in
/// milliseconds since the epoch.
std::vector<counter_sample> ReadRequestCounters(std::string_view text,
                                                const std::string& source,
                                                std::int64_t at_ms);

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_METRICS_TEXT_H_
