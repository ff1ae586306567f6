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

/// One JSON line per decision on standard output, bounded and never blocking.
namespace chivecrank::event_log {

/// One field of an event.
struct field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, bool> value;

  field(std::string_view field_name, std::string_view text)
      : name(field_name), value(text) {}
  field(std::string_view field_name, const std::string& text)
      : name(field_name), value(std::string_view(text)) {}
  field(std::string_view field_name, const char* text)
      : name(field_name), value(std::string_view(text)) {}
  field(std::string_view field_name, bool truth)
      : name(field_name), value(truth) {}
  template <std::integral Integer>
  requires(!std::same_as<Integer, bool>)
      field(std::string_view field_name, Integer number)
      : name(field_name), value(static_cast<std::int64_t>(number)) {}
};

/// Takes bytes without blocking; returns how many it took.
using byte_sink = std::function<std::size_t(std::string_view)>;

/// Writes to standard output, which is switched to non-blocking.
byte_sink StandardOutput();

struct log_settings {
  /// Lines of one event that are written in one second.
  std::int64_t lines_per_event = 200;
  /// Bytes that wait for a slow reader; further lines are dropped.
  std::size_t buffer_bytes = 256 * 1024;
};

/// The log of one process. What is left out is counted, and the count is
/// written as an event "lines_left_out" of its own.
class event_log {
 public:
  event_log(base::clock& clock,
            std::string instance,
            log_settings settings,
            byte_sink sink);

  void Write(std::string_view event, std::initializer_list<field> fields);
  /// Hands on what the sink did not take before, and starts a new second of
  /// bounds when one has passed. Call it now and then.
  void Flush();
  /// Lines that were dropped so far.
  std::uint64_t LeftOut() const { return left_out_; }

 private:
  struct event_count {
    std::int64_t written = 0;
    std::int64_t left_out = 0;
  };

  void Append(std::string line);
  void BeginSecond(base::time_point now);
  std::string LineOf(std::string_view event,
                     std::initializer_list<field> fields) const;

  base::clock& clock_;
  const std::string instance_;
  const log_settings settings_;
  byte_sink sink_;
  std::string waiting_;
  std::map<std::string, event_count, std::less<>> counts_;
  base::time_point second_began_;
  std::uint64_t left_out_ = 0;
};

}  // namespace chivecrank::event_log

#endif  // CHIVECRANK_EVENT_LOG_EVENT_LOG_H_
