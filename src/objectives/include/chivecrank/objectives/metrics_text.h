#ifndef CHIVECRANK_OBJECTIVES_METRICS_TEXT_H_
#define CHIVECRANK_OBJECTIVES_METRICS_TEXT_H_

#include <string_view>
#include <vector>

#include "chivecrank/objectives/types.h"

namespace chivecrank::objectives {

/// The request counters in the text that a daemon serves on /metrics. Other
/// metrics are passed over.
std::vector<counter_sample> ReadRequestCounters(std::string_view text,
                                                const std::string& source,
                                                std::int64_t at_ms);

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_METRICS_TEXT_H_
