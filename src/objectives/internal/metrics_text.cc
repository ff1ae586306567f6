#include "chivecrank/objectives/metrics_text.h"

#include <cstdlib>

namespace chivecrank::objectives {
namespace {

/// The value of a label in `{name="value",...}`; empty when absent. Names of
/// services and accounts hold no quotes, so nothing needs unescaping.
std::string LabelOf(std::string_view labels, const std::string& name) {
  const std::string start = name + "=\"";
  std::size_t place = labels.find(start);
  while (place != std::string_view::npos && place > 0 &&
         labels[place - 1] != ',' && labels[place - 1] != '{') {
    place = labels.find(start, place + 1);
  }
  if (place == std::string_view::npos)
    return {};
  place += start.size();
  return std::string(labels.substr(place, labels.find('"', place) - place));
}

}  // namespace

std::vector<counter_sample> ReadRequestCounters(std::string_view text,
                                                const std::string& source,
                                                std::int64_t at_ms) {
  std::vector<counter_sample> samples;
  const std::string start = std::string(kRequestsMetric) + "{";
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    const std::size_t close = line.find('}');
    if (!line.starts_with(start) || close == std::string_view::npos)
      continue;
    const std::string_view labels =
        line.substr(start.size() - 1, close + 2 - start.size());
    const std::string value(line.substr(close + 1));
    samples.push_back({at_ms, source, LabelOf(labels, "service"),
                       LabelOf(labels, "account"), LabelOf(labels, "outcome"),
                       LabelOf(labels, "in_objective") == "true",
                       std::strtod(value.c_str(), nullptr)});
  }
  return samples;
}

}  // namespace chivecrank::objectives
