#ifndef CHIVECRANK_EVENT_LOG_SUBMISSION_HISTORY_H_
#define CHIVECRANK_EVENT_LOG_SUBMISSION_HISTORY_H_

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chivecrank::event_log {

/// One event from the log of an instance.
struct history_event {
  std::int64_t time_ms = 0;
  std::string instance;
  std::string event;
  /// The remaining fields of the line, converted to text.
  std::map<std::string, std::string> fields;

  std::string Field(const std::string& name) const;
  std::int64_t Number(const std::string& name) const;
};

/// History of one submission, reconstructed from the instances' logs.
struct submission_history {
  std::string submission;
  /// Sorted by time.
  std::vector<history_event> events;
  /// Final outcome, or the state that the last event implies.
  std::string outcome;
  /// Reasons for the outcome or the duration, most specific first.
  std::vector<std::string> causes;
  /// Missing information: lines dropped by a limit of the log, or no line about
  /// the submission at all.
  std::vector<std::string> gaps;
};

/// Collects from the logs of any number of instances the events of one
/// submission and those that belong to none. Text before the JSON object of a
/// line is skipped.
class history_reader {
 public:
  explicit history_reader(std::string submission);

  void Read(std::istream& log);
  submission_history Finish();

 private:
  void ReadLine(std::string_view line);

  std::string submission_;
  std::vector<history_event> submission_events_;
  /// Events that belong to no submission, such as those about the store, shard
  /// ownership or dropped lines.
  std::vector<history_event> context_events_;
};

/// Formats a history as lines of text.
std::string ToText(const submission_history& history);

/// Formats a history as one JSON object.
std::string ToJson(const submission_history& history);

}  // namespace chivecrank::event_log

#endif  // CHIVECRANK_EVENT_LOG_SUBMISSION_HISTORY_H_
