#ifndef CHIVECRANK_TESTS_STANDIN_PLATFORM_FAULT_SETTINGS_H_
#define CHIVECRANK_TESTS_STANDIN_PLATFORM_FAULT_SETTINGS_H_

#include <chrono>

#include "chivecrank/http/json.h"

namespace chivecrank::standin {

/// Faults that the stand-in platform shows, set over /control/faults.
struct fault_settings {
  /// Every call fails before it has any effect.
  bool down = false;
  /// Every call takes this much longer.
  std::chrono::milliseconds delay{0};
  /// Share of writes whose answer is lost after they took effect.
  double lost_answers = 0;
  /// Share of writes that are reported as lost and take effect `late_by` later.
  double late_writes = 0;
  std::chrono::milliseconds late_by{0};
  /// Share of reads that return what the key held before its last write.
  double stale_reads = 0;
};

fault_settings DecodeFaults(const http::json_object& encoded);

}  // namespace chivecrank::standin

#endif  // CHIVECRANK_TESTS_STANDIN_PLATFORM_FAULT_SETTINGS_H_
