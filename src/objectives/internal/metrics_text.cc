#include "chivecrank/objectives/metrics_text.h"

#include <cstdlib>

namespace chivecrank::objectives {
namespace {

/// Returns the value of a label in `{name="value",...}`, empty if absent. Names
/// of services and accounts contain no quotes, so values are not unescaped.
std::string LabelOf(std::string_view labels, const std::string& name) {
  const std::string prefix = name + "=\"";
  std::size_t position = labels.find(prefix);
  while (position != std::string_view::npos && position > 0 &&
         labels[position - 1] != ',' && labels[position - 1] != '{') {
    position = labels.find(prefix, position + 1);
  }
  if (position == std::string_view::npos)
    return {};
  position += prefix.size();
  return std::string(
      labels.substr(position, labels.find('"', position) - position));
}

}  // namespace

std::vector<counter_sample> ReadRequestCounters(std::string_view text,
                                                const std::string& source,
                                                std::int64_t at_ms) {
  std::vector<counter_sample> samples;
  const std::string prefix = std::string(kRequestsMetric) + "{";
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    const std::size_t close = line.find('}');
    if (!line.starts_with(prefix) || close == std::string_view::npos)
      continue;
    const std::string_view labels =
        line.substr(prefix.size() - 1, close + 2 - prefix.size());
    const std::string value(line.substr(close + 1));
    samples.push_back({at_ms, source, LabelOf(labels, "service"),
                       LabelOf(labels, "account"), LabelOf(labels, "outcome"),
                       LabelOf(labels, "in_objective") == "true",
                       std::strtod(value.c_str(), nullptr)});
  }
  return samples;
}

}  // namespace chivecrank::objectives
