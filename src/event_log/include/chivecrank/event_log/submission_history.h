#ifndef CHIVECRANK_EVENT_LOG_STORY_H_
#define CHIVECRANK_EVENT_LOG_STORY_H_

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chivecrank::event_log {

/// One event of a submission, as some instance logged it.
struct story_event {
  std::int64_t time_ms = 0;
  std::string instance;
  std::string event;
  /// The other fields as they stand in the line.
  std::map<std::string, std::string> fields;

  std::string Field(const std::string& name) const;
  std::int64_t Number(const std::string& name) const;
};

/// What the logs of all instances tell of one submission.
struct story {
  std::string submission;
  /// In the order of time.
  std::vector<story_event> events;
  /// How it ended, or how far it is.
  std::string outcome;
  /// What explains the outcome or the time that it took, most telling first.
  std::vector<std::string> causes;
  /// What the logs leave out: lines dropped at the bound, or no line at all.
  std::vector<std::string> gaps;
};

/// Collects the events of one submission from logs of any number of instances,
/// and those that concern the workers and the shard that it ran on. Text
/// before the JSON object of a line is skipped.
class story_reader {
 public:
  explicit story_reader(std::string submission);

  void Read(std::istream& log);
  story Finish();

 private:
  void Take(std::string_view line);

  std::string submission_;
  std::vector<story_event> own_;
  /// Events without a submission: dependencies, owners, workers.
  std::vector<story_event> ambient_;
};

/// The story as lines of text.
std::string ToText(const story& told);

/// The story as one JSON object.
std::string ToJson(const story& told);

}  // namespace chivecrank::event_log

#endif  // CHIVECRANK_EVENT_LOG_STORY_H_
