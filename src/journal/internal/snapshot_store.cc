#include "chivecrank/journal/snapshot_store.h"

#include <algorithm>

#include "chivecrank/http/json.h"
#include "chivecrank/journal/record_codec.h"

namespace chivecrank::journal {
namespace {

constexpr platform::call_class kClass = platform::call_class::kJournal;
constexpr int kHeadFormat = 1;
/// Events per part before its size is looked at.
constexpr std::size_t kEventsAtOnce = 1000;

base::error Corrupt(const std::string& key, const std::string& detail) {
  return {base::error_kind::kCorrupt, "snapshot " + key + " " + detail,
          "run the program version that wrote it, or restore the key"};
}

std::string NameOf(sequence number, epoch by) {
  return std::to_string(by) + "-" + std::to_string(number);
}

std::string PartKey(const std::string& prefix,
                    const std::string& name,
                    std::size_t part) {
  return prefix + name + "/" + std::to_string(part);
}

/// Cuts a record into encoded parts of bounded size.
std::vector<std::string> EncodeParts(const record& from,
                                     std::size_t value_bytes) {
  std::vector<std::string> parts;
  std::size_t at = 0;
  std::size_t step = kEventsAtOnce;
  while (at < from.events.size()) {
    const std::size_t end = std::min(from.events.size(), at + step);
    record part{from.sequence, from.epoch, from.writer, {}};
    part.events.assign(from.events.begin() + static_cast<std::ptrdiff_t>(at),
                       from.events.begin() + static_cast<std::ptrdiff_t>(end));
    std::string encoded = EncodeRecord(part);
    if (encoded.size() > value_bytes && end - at > 1) {
      step = (end - at) / 2;
      continue;
    }
    parts.push_back(std::move(encoded));
    at = end;
  }
  return parts;
}

}  // namespace

snapshot_store::snapshot_store(platform::store& store,
                               const std::string& shard,
                               std::size_t value_bytes)
    : store_(store),
      head_key_("shards/" + shard + "/head"),
      prefix_("shards/" + shard + "/snapshot/"),
      value_bytes_(value_bytes) {}

base::result<std::vector<record>> snapshot_store::Read() {
  BOOST_OUTCOME_TRY(head, store_.Get(kClass, head_key_));
  head_version_ = head ? head->version : 0;
  covered_ = 0;
  std::vector<record> parts;
  if (!head)
    return parts;
  const auto parsed = http::ParseObject(head->value);
  if (!parsed.has_value() ||
      http::IntegerOf(parsed.value(), "format") != kHeadFormat) {
    return Corrupt(head_key_, "has an unknown format");
  }
  const auto covered =
      static_cast<sequence>(http::IntegerOf(parsed.value(), "sequence"));
  const auto by = static_cast<epoch>(http::IntegerOf(parsed.value(), "epoch"));
  const auto count =
      static_cast<std::size_t>(http::IntegerOf(parsed.value(), "parts"));
  for (std::size_t part = 0; part < count; ++part) {
    const std::string key = PartKey(prefix_, NameOf(covered, by), part);
    BOOST_OUTCOME_TRY(found, store_.Get(kClass, key));
    if (!found)
      return Corrupt(key, "is missing");
    BOOST_OUTCOME_TRY(read, DecodeRecord(found->value));
    if (read.sequence != covered)
      return Corrupt(key, "belongs to another snapshot");
    parts.push_back(std::move(read));
  }
  covered_ = covered;
  return parts;
}

base::result<void> snapshot_store::Write(const record& from) {
  const std::vector<std::string> parts = EncodeParts(from, value_bytes_);
  const std::string name = NameOf(from.sequence, from.epoch);
  for (std::size_t part = 0; part < parts.size(); ++part) {
    BOOST_OUTCOME_TRY(WritePart(PartKey(prefix_, name, part), parts[part]));
  }
  BOOST_OUTCOME_TRY(WriteHead(from, parts.size()));
  covered_ = from.sequence;
  DropOthers(prefix_ + name + "/");
  return base::Success();
}

base::result<void> snapshot_store::WritePart(const std::string& key,
                                             const std::string& value) {
  const auto written = store_.Put(kClass, {key, value, 0, 0});
  if (written.has_value())
    return base::Success();
  // An earlier try may have written the same part.
  BOOST_OUTCOME_TRY(found, store_.Get(kClass, key));
  if (found && found->value == value)
    return base::Success();
  return written.error();
}

base::result<void> snapshot_store::WriteHead(const record& from,
                                             std::size_t parts) {
  http::json_object head = new Poco::JSON::Object;
  head->set("format", kHeadFormat);
  head->set("sequence", from.sequence);
  head->set("epoch", from.epoch);
  head->set("parts", static_cast<Poco::UInt64>(parts));
  const std::string text = http::ToText(head);
  const auto written = store_.Put(kClass, {head_key_, text, head_version_, 0});
  if (written.has_value()) {
    head_version_ = written.value();
    return base::Success();
  }
  BOOST_OUTCOME_TRY(found, store_.Get(kClass, head_key_));
  if (!found || found->value != text)
    return written.error();
  head_version_ = found->version;
  return base::Success();
}

void snapshot_store::DropOthers(const std::string& kept) {
  // What stays behind after an error goes with the next snapshot.
  const auto listed = store_.List(kClass, prefix_);
  if (!listed.has_value())
    return;
  for (const platform::store_entry& entry : listed.value().entries) {
    if (!entry.key.starts_with(kept))
      static_cast<void>(store_.Delete(kClass, entry.key, entry.version));
  }
}

}  // namespace chivecrank::journal
