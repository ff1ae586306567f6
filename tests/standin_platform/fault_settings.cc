#include "fault_settings.h"

namespace chivecrank::standin {

fault_settings DecodeFaults(const http::json_object& encoded) {
  return {http::BooleanOf(encoded, "down"),
          std::chrono::milliseconds(http::IntegerOf(encoded, "delay_ms")),
          http::NumberOf(encoded, "lost_answers"),
          http::NumberOf(encoded, "late_writes"),
          std::chrono::milliseconds(http::IntegerOf(encoded, "late_by_ms")),
          http::NumberOf(encoded, "stale_reads")};
}

}  // namespace chivecrank::standin
