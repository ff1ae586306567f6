#include "chivecrank/idempotency/types.h"

#include <xxhash.h>

#include <array>
#include <utility>

namespace chivecrank::idempotency {
namespace {

template <class Value, std::size_t kCount>
using name_table = std::array<std::pair<Value, std::string_view>, kCount>;

constexpr name_table<log_entry_kind, 4> kEntryKinds = {{
    {log_entry_kind::kIntent, "intent"},
    {log_entry_kind::kCompleted, "completed"},
    {log_entry_kind::kUnknown, "unknown"},
    {log_entry_kind::kWithdrawn, "withdrawn"},
}};

constexpr name_table<verdict, 6> kVerdicts = {{
    {verdict::kRun, "run"},
    {verdict::kReplay, "replay"},
    {verdict::kUnknown, "unknown"},
    {verdict::kMismatch, "mismatch"},
    {verdict::kPending, "pending"},
    {verdict::kRefused, "refused"},
}};

constexpr name_table<key_state, 4> kKeyStates = {{
    {key_state::kAbsent, "absent"},
    {key_state::kInFlight, "in_flight"},
    {key_state::kCompleted, "completed"},
    {key_state::kUnknown, "unknown"},
}};

template <class Value, std::size_t kCount>
std::string_view NameOf(const name_table<Value, kCount>& table, Value value) {
  for (const auto& [known, name] : table) {
    if (known == value)
      return name;
  }
  return "unknown";
}

template <class Value, std::size_t kCount>
Value ValueOf(const name_table<Value, kCount>& table,
              std::string_view name,
              Value fallback) {
  for (const auto& [known, known_name] : table) {
    if (known_name == name)
      return known;
  }
  return fallback;
}

}  // namespace

partition_id PartitionOf(std::string_view request_id) {
  return static_cast<partition_id>(
      XXH64(request_id.data(), request_id.size(), 0) % kPartitions);
}

std::string_view LogEntryKindName(log_entry_kind value) {
  return NameOf(kEntryKinds, value);
}

log_entry_kind LogEntryKindFromName(std::string_view name) {
  return ValueOf(kEntryKinds, name, log_entry_kind::kUnknown);
}

std::string_view VerdictName(verdict value) {
  return NameOf(kVerdicts, value);
}

verdict VerdictFromName(std::string_view name) {
  return ValueOf(kVerdicts, name, verdict::kUnknown);
}

std::string_view KeyStateName(key_state value) {
  return NameOf(kKeyStates, value);
}

key_state KeyStateFromName(std::string_view name) {
  return ValueOf(kKeyStates, name, key_state::kUnknown);
}

}  // namespace chivecrank::idempotency
