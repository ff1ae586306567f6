#ifndef CHIVECRANK_EVENT_LOG_EVENT_LOG_H_
#define CHIVECRANK_EVENT_LOG_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "chivecrank/base/clock.h"

/// Structured log of decisions: one JSON line per event, limited in rate and
/// memory, written without blocking.
namespace chivecrank::event_log {

struct field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, bool> value;

  field(std::string_view field_name, std::string_view text)
      : name(field_name), value(text) {}
  field(std::string_view field_name, const std::string& text)
      : name(field_name), value(std::string_view(text)) {}
  field(std::string_view field_name, const char* text)
      : name(field_name), value(std::string_view(text)) {}
  field(std::string_view field_name, bool flag)
      : name(field_name), value(flag) {}
  template <std::integral Integer>
  requires(!std::same_as<Integer, bool>)
      field(std::string_view field_name, Integer number)
      : name(field_name), value(static_cast<std::int64_t>(number)) {}
};

/// Accepts bytes without blocking; returns how many it accepted.
using byte_sink = std::function<std::size_t(std::string_view)>;

/// Writes to standard output, which it switches to non-blocking mode.
byte_sink StandardOutput();

struct log_settings {
  /// Lines of one event name that are written per second; further ones are
  /// dropped.
  std::int64_t lines_per_event = 200;
  /// Bytes buffered while the sink accepts none; further lines are dropped.
  std::size_t buffer_bytes = 256 * 1024;
};

/// Event log of one process. Dropped lines are counted per event name, and each
/// count is logged as an event "lines_left_out".
class event_log {
 public:
  event_log(base::clock& clock,
            std::string instance,
            log_settings settings,
            byte_sink sink);

  void Write(std::string_view event, std::initializer_list<field> fields);
  /// Passes buffered lines to the sink, and starts a new interval of the rate
  /// limits when a second has passed. Call it regularly.
  void Flush();
  /// Lines dropped since construction.
  std::uint64_t DroppedLines() const { return dropped_lines_; }

 private:
  struct event_count {
    std::int64_t written = 0;
    std::int64_t dropped = 0;
  };

  void Append(std::string line);
  void BeginInterval(base::time_point now);
  std::string LineOf(std::string_view event,
                     std::initializer_list<field> fields) const;

  base::clock& clock_;
  const std::string instance_;
  const log_settings settings_;
  byte_sink sink_;
  std::string buffer_;
  std::map<std::string, event_count, std::less<>> counts_;
  base::time_point interval_start_;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace chivecrank::event_log

#endif  // CHIVECRANK_EVENT_LOG_EVENT_LOG_H_
