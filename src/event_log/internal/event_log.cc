#include "chivecrank/event_log/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

#include "chivecrank/json/writer.h"

namespace chivecrank::event_log {
namespace {

constexpr std::chrono::seconds kRateInterval{1};

void WriteValue(json::writer& text, const field& member) {
  text.Key(member.name);
  if (const auto* string = std::get_if<std::string_view>(&member.value))
    text.String(*string);
  else if (const auto* number = std::get_if<std::int64_t>(&member.value))
    text.Integer(*number);
  else
    text.Boolean(std::get<bool>(member.value));
}

}  // namespace

byte_sink StandardOutput() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  return [](std::string_view bytes) -> std::size_t {
    const ssize_t written_bytes =
        write(STDOUT_FILENO, bytes.data(), bytes.size());
    // A full pipe accepts no bytes; they stay in the buffer.
    return written_bytes < 0 ? 0 : static_cast<std::size_t>(written_bytes);
  };
}

event_log::event_log(base::clock& clock,
                     std::string instance,
                     log_settings settings,
                     byte_sink sink)
    : clock_(clock),
      instance_(std::move(instance)),
      settings_(settings),
      sink_(std::move(sink)),
      interval_start_(clock.Now()) {}

void event_log::Write(std::string_view event,
                      std::initializer_list<field> fields) {
  auto found = counts_.find(event);
  if (found == counts_.end())
    found = counts_.emplace(std::string(event), event_count{}).first;
  if (found->second.written >= settings_.lines_per_event) {
    ++found->second.dropped;
    ++dropped_lines_;
    return;
  }
  ++found->second.written;
  Append(LineOf(event, fields));
}

void event_log::Flush() {
  const base::time_point now = clock_.Now();
  if (now - interval_start_ >= kRateInterval)
    BeginInterval(now);
  if (buffer_.empty())
    return;
  buffer_.erase(0, sink_(buffer_));
}

void event_log::Append(std::string line) {
  line += '\n';
  if (buffer_.size() + line.size() > settings_.buffer_bytes) {
    ++dropped_lines_;
    ++counts_["buffer_full"].dropped;
    return;
  }
  buffer_ += line;
}

void event_log::BeginInterval(base::time_point now) {
  interval_start_ = now;
  for (auto& [event, count] : counts_) {
    const event_count finished = std::exchange(count, {});
    if (finished.dropped > 0)
      Append(LineOf("lines_left_out",
                    {{"of", event}, {"count", finished.dropped}}));
  }
}

std::string event_log::LineOf(std::string_view event,
                              std::initializer_list<field> fields) const {
  const auto since_epoch = std::chrono::duration_cast<base::milliseconds>(
      clock_.WallNow().time_since_epoch());
  json::writer text;
  text.BeginObject()
      .Field("time_ms", since_epoch.count())
      .Field("instance", instance_)
      .Field("event", event);
  for (const field& member : fields)
    WriteValue(text, member);
  text.EndObject();
  return text.Text();
}

}  // namespace chivecrank::event_log
