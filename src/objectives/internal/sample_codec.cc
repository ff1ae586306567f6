#include "chivecrank/objectives/sample_codec.h"

#include <algorithm>

#include "chivecrank/http/json.h"

namespace chivecrank::objectives {
namespace {

constexpr int kFormatVersion = 1;
constexpr char kObjective[] = "objective";
constexpr char kCounter[] = "counter";

http::json_object NewLine(const char* kind) {
  http::json_object line = new Poco::JSON::Object;
  line->set("format", kFormatVersion);
  line->set("kind", std::string(kind));
  return line;
}

base::error Invalid(int number, const std::string& what) {
  return {base::error_kind::kInvalidArgument,
          "line " + std::to_string(number) + ": " + what,
          "remove the line, or use a file that chivecrank_report collected"};
}

void AddObjective(const http::json_object& line, sample_file& read) {
  service_objective objective{
      http::StringOf(line, "service"), http::NumberOf(line, "ratio"),
      std::chrono::milliseconds(http::IntegerOf(line, "latency_ms"))};
  const auto known = std::find_if(
      read.objectives.begin(), read.objectives.end(),
      [&](const auto& item) { return item.service == objective.service; });
  if (known == read.objectives.end())
    read.objectives.push_back(std::move(objective));
  else
    *known = std::move(objective);
}

void AddCounter(const http::json_object& line, sample_file& read) {
  read.samples.push_back(
      {http::IntegerOf(line, "at_ms"), http::StringOf(line, "source"),
       http::StringOf(line, "service"), http::StringOf(line, "account"),
       http::StringOf(line, "outcome"), http::BooleanOf(line, "in_objective"),
       http::NumberOf(line, "value")});
}

}  // namespace

std::string EncodeLine(const service_objective& objective) {
  http::json_object line = NewLine(kObjective);
  line->set("service", objective.service);
  line->set("ratio", objective.ratio);
  line->set("latency_ms", static_cast<Poco::Int64>(objective.latency.count()));
  return http::ToText(line);
}

std::string EncodeLine(const counter_sample& sample) {
  http::json_object line = NewLine(kCounter);
  line->set("at_ms", sample.at_ms);
  line->set("source", sample.source);
  line->set("service", sample.service);
  line->set("account", sample.account);
  line->set("outcome", sample.outcome);
  line->set("in_objective", sample.in_objective);
  line->set("value", sample.value);
  return http::ToText(line);
}

base::result<sample_file> ReadSamples(std::istream& input) {
  sample_file read;
  std::string text;
  for (int number = 1; std::getline(input, text); ++number) {
    if (text.empty())
      continue;
    const auto line = http::ParseObject(text);
    if (!line.has_value())
      return Invalid(number, "not a JSON object");
    if (http::IntegerOf(line.value(), "format") != kFormatVersion)
      return Invalid(number, "unknown format");
    const std::string kind = http::StringOf(line.value(), "kind");
    if (http::StringOf(line.value(), "service").empty())
      return Invalid(number, "no service");
    if (kind == kObjective)
      AddObjective(line.value(), read);
    else if (kind == kCounter)
      AddCounter(line.value(), read);
    else
      return Invalid(number, "unknown kind \"" + kind + "\"");
  }
  return read;
}

}  // namespace chivecrank::objectives
