#include "chivecrank/settings/section.h"

#include <optional>
#include <utility>

#include "internal/state.h"

namespace chivecrank::settings {
namespace {

constexpr unsigned kOctetCount = 4;
constexpr unsigned kMaxOctet = 255;
constexpr unsigned kMaxPort = 65535;

const toml::node* Find(const internal::section_state& state,
                       std::string_view key) {
  if (state.table == nullptr)
    return nullptr;
  return state.table->get(key);
}

std::uint32_t LineOf(const internal::section_state& state,
                     std::string_view key) {
  const toml::node* node = Find(state, key);
  if (node != nullptr)
    return node->source().begin.line;
  if (state.table != nullptr)
    return state.table->source().begin.line;
  return 0;
}

void RecordProblem(internal::section_state& state,
                   std::string_view key,
                   std::string message,
                   std::string remedy) {
  state.document->problems.push_back({state.document->file, LineOf(state, key),
                                      state.prefix + std::string(key),
                                      std::move(message), std::move(remedy)});
}

const toml::node* Lookup(internal::section_state& state,
                         std::string_view key,
                         bool required) {
  state.known_keys.emplace(key);
  const toml::node* node = Find(state, key);
  if (node == nullptr && required && state.report_missing)
    RecordProblem(state, key, "is missing",
                  "add it; see the example under config/");
  return node;
}

void RecordWrongType(internal::section_state& state,
                     std::string_view key,
                     std::string_view expected_type) {
  RecordProblem(state, key, "has the wrong type",
                "give " + std::string(expected_type) + " here");
}

std::optional<unsigned> ParseNumber(std::string_view text, unsigned max_value) {
  if (text.empty() || text.size() > 5)
    return std::nullopt;
  unsigned value = 0;
  for (const char digit : text) {
    if (digit < '0' || digit > '9')
      return std::nullopt;
    value = value * 10 + static_cast<unsigned>(digit - '0');
  }
  if (value > max_value)
    return std::nullopt;
  return value;
}

bool IsIpv4Address(std::string_view host) {
  unsigned octets = 0;
  while (true) {
    const std::size_t dot = host.find('.');
    if (!ParseNumber(host.substr(0, dot), kMaxOctet))
      return false;
    ++octets;
    if (dot == std::string_view::npos)
      return octets == kOctetCount;
    host.remove_prefix(dot + 1);
  }
}

std::shared_ptr<internal::section_state> AddChild(
    internal::section_state& parent,
    const toml::table* table,
    std::string prefix) {
  auto child = std::make_shared<internal::section_state>();
  child->document = parent.document;
  child->table = table;
  child->prefix = std::move(prefix);
  parent.document->sections.push_back(child);
  return child;
}

section TableOf(internal::section_state& state,
                std::string_view key,
                bool required) {
  const toml::node* node = Lookup(state, key, required);
  const toml::table* table = node == nullptr ? nullptr : node->as_table();
  if (node != nullptr && table == nullptr)
    RecordWrongType(state, key, "a table");
  auto child = AddChild(state, table, state.prefix + std::string(key) + ".");
  child->report_missing = table != nullptr || node == nullptr;
  if (required && node == nullptr)
    child->report_missing = false;
  return section(std::move(child));
}

}  // namespace

std::optional<endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsIpv4Address(text.substr(0, colon)))
    return std::nullopt;
  const auto port = ParseNumber(text.substr(colon + 1), kMaxPort);
  if (!port || *port == 0)
    return std::nullopt;
  return endpoint{std::string(text.substr(0, colon)),
                  static_cast<std::uint16_t>(*port)};
}

section::section(std::shared_ptr<internal::section_state> state)
    : state_(std::move(state)) {}

std::string section::String(std::string_view key) {
  const toml::node* node = Lookup(*state_, key, true);
  if (node == nullptr)
    return {};
  const auto text = node->value_exact<std::string>();
  if (!text) {
    RecordWrongType(*state_, key, "a string");
    return {};
  }
  if (text->empty())
    RecordProblem(*state_, key, "is empty", "give a non-empty string here");
  return *text;
}

std::string section::StringOr(std::string_view key, std::string fallback) {
  const toml::node* node = Lookup(*state_, key, false);
  if (node == nullptr)
    return fallback;
  const auto text = node->value_exact<std::string>();
  if (text)
    return *text;
  RecordWrongType(*state_, key, "a string");
  return fallback;
}

std::int64_t section::Integer(std::string_view key, integer_range range) {
  if (Lookup(*state_, key, true) == nullptr)
    return range.min_value;
  return IntegerOr(key, range, range.min_value);
}

double section::Number(std::string_view key, number_range range) {
  if (Lookup(*state_, key, true) == nullptr)
    return range.min_value;
  return NumberOr(key, range, range.min_value);
}

double section::NumberOr(std::string_view key,
                         number_range range,
                         double fallback) {
  const toml::node* node = Lookup(*state_, key, false);
  if (node == nullptr)
    return fallback;
  const auto number = node->value<double>();
  if (!number) {
    RecordWrongType(*state_, key, "a number");
    return fallback;
  }
  if (*number < range.min_value || *number > range.max_value) {
    Reject(key, "is out of range",
           "give a number from " + std::to_string(range.min_value) + " to " +
               std::to_string(range.max_value));
    return fallback;
  }
  return *number;
}

std::int64_t section::IntegerOr(std::string_view key,
                                integer_range range,
                                std::int64_t fallback) {
  const toml::node* node = Lookup(*state_, key, false);
  if (node == nullptr)
    return fallback;
  const auto value = node->value_exact<std::int64_t>();
  if (!value) {
    RecordWrongType(*state_, key, "an integer");
    return fallback;
  }
  if (*value < range.min_value || *value > range.max_value) {
    RecordProblem(*state_, key,
                  "is " + std::to_string(*value) + ", out of range",
                  "give a value from " + std::to_string(range.min_value) +
                      " to " + std::to_string(range.max_value));
    return fallback;
  }
  return *value;
}

std::chrono::milliseconds section::MillisecondsOr(
    std::string_view key,
    integer_range range,
    std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds(IntegerOr(key, range, fallback.count()));
}

bool section::BooleanOr(std::string_view key, bool fallback) {
  const toml::node* node = Lookup(*state_, key, false);
  if (node == nullptr)
    return fallback;
  const auto value = node->value_exact<bool>();
  if (value)
    return *value;
  RecordWrongType(*state_, key, "true or false");
  return fallback;
}

endpoint section::Endpoint(std::string_view key) {
  const std::string text = String(key);
  if (text.empty())
    return {};
  const auto parsed = ParseEndpoint(text);
  if (parsed)
    return *parsed;
  RecordProblem(*state_, key, "\"" + text + "\" is not an address",
                "give \"ip:port\", such as \"127.0.0.1:8080\"");
  return {};
}

std::vector<endpoint> section::EndpointsOr(std::string_view key,
                                           std::vector<endpoint> fallback) {
  const toml::node* node = Lookup(*state_, key, false);
  if (node == nullptr)
    return fallback;
  const toml::array* items = node->as_array();
  if (items == nullptr) {
    RecordWrongType(*state_, key, "a list of \"ip:port\"");
    return fallback;
  }
  std::vector<endpoint> endpoints;
  for (const toml::node& item : *items) {
    const auto text = item.value_exact<std::string>();
    const auto parsed = text ? ParseEndpoint(*text) : std::nullopt;
    if (parsed) {
      endpoints.push_back(*parsed);
      continue;
    }
    RecordProblem(*state_, key, "holds an entry that is not an address",
                  "give each as \"ip:port\", such as \"127.0.0.1:8080\"");
  }
  return endpoints;
}

section section::Table(std::string_view key) {
  return TableOf(*state_, key, true);
}

section section::TableOr(std::string_view key) {
  return TableOf(*state_, key, false);
}

std::vector<section> section::Tables(std::string_view key) {
  std::vector<section> tables;
  const toml::node* node = Lookup(*state_, key, false);
  if (node == nullptr)
    return tables;
  const toml::array* items = node->as_array();
  if (items == nullptr || !items->is_array_of_tables()) {
    RecordWrongType(*state_, key, "an array of tables");
    return tables;
  }
  for (std::size_t i = 0; i < items->size(); ++i) {
    tables.push_back(section(AddChild(
        *state_, items->get(i)->as_table(),
        state_->prefix + std::string(key) + "[" + std::to_string(i) + "].")));
  }
  return tables;
}

bool section::Has(std::string_view key) const {
  return Find(*state_, key) != nullptr;
}

void section::Reject(std::string_view key,
                     std::string message,
                     std::string remedy) {
  state_->known_keys.emplace(key);
  RecordProblem(*state_, key, std::move(message), std::move(remedy));
}

std::string ToString(const endpoint& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace chivecrank::settings
