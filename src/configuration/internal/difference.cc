#include "chivecrank/configuration/difference.h"

#include <array>
#include <map>

#include "chivecrank/configuration/codec.h"

namespace chivecrank::configuration {
namespace {

constexpr std::array kSections = {"services", "jobs", "accounts", "teams",
                                  "drains"};

/// Returns the JSON text of each element of a section, by name.
std::map<std::string, std::string> ElementTexts(
    const http::json_object& encoded,
    const std::string& section) {
  std::map<std::string, std::string> all;
  const http::json_array items = http::ArrayOf(encoded, section);
  for (unsigned i = 0; i < items->size(); ++i) {
    const http::json_object item = items->getObject(i);
    std::string name = http::StringOf(item, "name");
    if (item->has("scope"))
      name = http::StringOf(item, "scope") + " " + name;
    all[name] = http::ToText(item);
  }
  return all;
}

}  // namespace

std::string_view DifferenceKindName(difference_kind value) {
  constexpr std::array names = {"added", "removed", "changed"};
  return names.at(static_cast<std::size_t>(value));
}

std::vector<difference> Compare(const content& from, const content& to) {
  const http::json_object before = EncodeContent(from);
  const http::json_object after = EncodeContent(to);
  std::vector<difference> found;
  for (const char* section : kSections) {
    const auto old_elements = ElementTexts(before, section);
    const auto new_elements = ElementTexts(after, section);
    for (const auto& [name, text] : old_elements) {
      const auto kept = new_elements.find(name);
      if (kept == new_elements.end())
        found.push_back({difference_kind::kRemoved, section, name});
      else if (kept->second != text)
        found.push_back({difference_kind::kChanged, section, name});
    }
    for (const auto& [name, text] : new_elements) {
      if (!old_elements.contains(name))
        found.push_back({difference_kind::kAdded, section, name});
    }
  }
  return found;
}

}  // namespace chivecrank::configuration
