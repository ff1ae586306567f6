#include "chivecrank/journal/snapshot_store.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <optional>
#include <utility>

#include "chivecrank/http/json.h"
#include "chivecrank/journal/record_codec.h"

namespace chivecrank::journal {
namespace {

constexpr coordination::call_class kClass = coordination::call_class::kJournal;
constexpr int kHeadFormat = 1;
/// A snapshot may be replaced while it is read.
constexpr int kReadTries = 3;
/// Events per part before its size is looked at.
constexpr std::size_t kEventsAtOnce = 1000;

base::error Corrupt(const std::string& key, const std::string& detail) {
  return {base::error_kind::kCorrupt, "snapshot " + key + " " + detail,
          "run the program version that wrote it, or restore the key"};
}

/// What the head says of the snapshot in force.
struct head_record {
  sequence covered = 0;
  epoch by = 0;
  std::size_t parts = 0;

  auto Order() const { return std::pair(by, covered); }
};

base::result<head_record> DecodeHead(const coordination::store_entry& entry) {
  const auto parsed = http::ParseObject(entry.value);
  if (!parsed.has_value() ||
      http::IntegerOf(parsed.value(), "format") != kHeadFormat) {
    return Corrupt(entry.key, "has an unknown format");
  }
  return head_record{
      static_cast<sequence>(http::IntegerOf(parsed.value(), "sequence")),
      static_cast<epoch>(http::IntegerOf(parsed.value(), "epoch")),
      static_cast<std::size_t>(http::IntegerOf(parsed.value(), "parts"))};
}

std::string EncodeHead(const head_record& head) {
  http::json_object encoded = new Poco::JSON::Object;
  encoded->set("format", kHeadFormat);
  encoded->set("sequence", head.covered);
  encoded->set("epoch", head.by);
  encoded->set("parts", static_cast<Poco::UInt64>(head.parts));
  return http::ToText(encoded);
}

/// "EPOCH-SEQUENCE/PART" under the prefix of the snapshots.
std::string PartKey(const std::string& prefix,
                    const head_record& head,
                    std::size_t part) {
  return prefix + std::to_string(head.by) + "-" + std::to_string(head.covered) +
         "/" + std::to_string(part);
}

/// The snapshot that a part belongs to; nothing for a foreign key.
std::optional<head_record> SnapshotOf(const std::string& prefix,
                                      const std::string& key) {
  head_record found;
  if (std::sscanf(key.c_str() + prefix.size(), "%" SCNu64 "-%" SCNu64 "/",
                  &found.by, &found.covered) != 2) {
    return std::nullopt;
  }
  return found;
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

snapshot_store::snapshot_store(coordination::store& store,
                               const std::string& shard,
                               std::size_t value_bytes)
    : store_(store),
      head_key_("shards/" + shard + "/head"),
      prefix_("shards/" + shard + "/snapshot/"),
      value_bytes_(value_bytes) {}

base::result<std::vector<record>> snapshot_store::Read() {
  for (int tries = 1;; ++tries) {
    BOOST_OUTCOME_TRY(head, store_.Get(kClass, head_key_));
    head_version_ = head ? head->version : 0;
    covered_ = 0;
    if (!head)
      return std::vector<record>();
    BOOST_OUTCOME_TRY(in_force, DecodeHead(*head));
    auto parts = ReadParts(in_force.covered, in_force.by, in_force.parts);
    if (parts.has_value())
      covered_ = in_force.covered;
    if (parts.has_value() || tries == kReadTries)
      return parts;
    // A former owner may have replaced the snapshot while it was read.
    BOOST_OUTCOME_TRY(now, store_.Get(kClass, head_key_));
    if (now && now->version == head_version_)
      return parts;
  }
}

base::result<std::vector<record>> snapshot_store::ReadParts(sequence covered,
                                                            epoch by,
                                                            std::size_t count) {
  std::vector<record> parts;
  for (std::size_t part = 0; part < count; ++part) {
    const std::string key = PartKey(prefix_, {covered, by, count}, part);
    BOOST_OUTCOME_TRY(found, store_.Get(kClass, key));
    if (!found)
      return Corrupt(key, "is missing");
    BOOST_OUTCOME_TRY(read, DecodeRecord(found->value));
    if (read.sequence != covered)
      return Corrupt(key, "belongs to another snapshot");
    parts.push_back(std::move(read));
  }
  return parts;
}

base::result<void> snapshot_store::Write(const record& from) {
  const std::vector<std::string> parts = EncodeParts(from, value_bytes_);
  const head_record head{from.sequence, from.epoch, parts.size()};
  for (std::size_t part = 0; part < parts.size(); ++part) {
    BOOST_OUTCOME_TRY(WritePart(PartKey(prefix_, head, part), parts[part]));
  }
  BOOST_OUTCOME_TRY(WriteHead(from, parts.size()));
  covered_ = from.sequence;
  DropOlder(from);
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
  const std::string text = EncodeHead({from.sequence, from.epoch, parts});
  const auto written = store_.Put(kClass, {head_key_, text, head_version_, 0});
  if (written.has_value()) {
    head_version_ = written.value();
    return base::Success();
  }
  BOOST_OUTCOME_TRY(found, store_.Get(kClass, head_key_));
  if (!found)
    return written.error();
  if (found->value == text) {
    head_version_ = found->version;
    return base::Success();
  }
  BOOST_OUTCOME_TRY(other, DecodeHead(*found));
  if (other.by > from.epoch) {
    return base::error{base::error_kind::kFenced,
                       "another owner has written " + head_key_,
                       "stop acting for this shard"};
  }
  // An earlier write of this owner or of the former one has landed after all.
  head_version_ = found->version;
  covered_ = other.covered;
  return written.error();
}

void snapshot_store::DropOlder(const record& kept) {
  // What stays behind after an error goes with the next snapshot. Only older
  // ones go: this owner may have been replaced since it wrote the head.
  const auto listed = store_.List(kClass, prefix_);
  if (!listed.has_value())
    return;
  const head_record in_force{kept.sequence, kept.epoch, 0};
  for (const coordination::store_entry& entry : listed.value().entries) {
    const auto snapshot = SnapshotOf(prefix_, entry.key);
    if (snapshot && snapshot->Order() < in_force.Order())
      static_cast<void>(store_.Delete(kClass, entry.key, entry.version));
  }
}

}  // namespace chivecrank::journal
