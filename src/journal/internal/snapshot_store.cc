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

constexpr coordination::call_class kCallClass =
    coordination::call_class::kJournal;
constexpr int kHeadFormat = 1;
/// Attempts to read a snapshot, which may be replaced while it is read.
constexpr int kMaxReadAttempts = 3;
/// Events per part before the encoded size is checked.
constexpr std::size_t kInitialEventsPerPart = 1000;

base::error Corrupt(const std::string& key, const std::string& detail) {
  return {base::error_kind::kCorrupt, "snapshot " + key + " " + detail,
          "run the program version that wrote it, or restore the key"};
}

/// Content of the head key: the current snapshot.
struct head_record {
  sequence covered_sequence = 0;
  epoch owner_epoch = 0;
  std::size_t parts = 0;

  auto AsPair() const { return std::pair(owner_epoch, covered_sequence); }
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
  encoded->set("sequence", head.covered_sequence);
  encoded->set("epoch", head.owner_epoch);
  encoded->set("parts", static_cast<Poco::UInt64>(head.parts));
  return http::ToText(encoded);
}

/// The key "EPOCH-SEQUENCE/PART" below the prefix of the snapshots.
std::string PartKey(const std::string& prefix,
                    const head_record& head,
                    std::size_t part) {
  return prefix + std::to_string(head.owner_epoch) + "-" +
         std::to_string(head.covered_sequence) + "/" + std::to_string(part);
}

/// The snapshot that a part's key belongs to; nullopt for any other key.
std::optional<head_record> ParsePartKey(const std::string& prefix,
                                        const std::string& key) {
  head_record found;
  if (std::sscanf(key.c_str() + prefix.size(), "%" SCNu64 "-%" SCNu64 "/",
                  &found.owner_epoch, &found.covered_sequence) != 2) {
    return std::nullopt;
  }
  return found;
}

/// Splits a record into encoded parts of at most `value_bytes`, unless a single
/// event is larger.
std::vector<std::string> EncodeParts(const record& snapshot,
                                     std::size_t value_bytes) {
  std::vector<std::string> parts;
  std::size_t at = 0;
  std::size_t events_per_part = kInitialEventsPerPart;
  while (at < snapshot.events.size()) {
    const std::size_t end =
        std::min(snapshot.events.size(), at + events_per_part);
    record part{snapshot.sequence, snapshot.epoch, snapshot.writer, {}};
    part.events.assign(
        snapshot.events.begin() + static_cast<std::ptrdiff_t>(at),
        snapshot.events.begin() + static_cast<std::ptrdiff_t>(end));
    std::string encoded = EncodeRecord(part);
    if (encoded.size() > value_bytes && end - at > 1) {
      events_per_part = (end - at) / 2;
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
      key_prefix_("shards/" + shard + "/snapshot/"),
      value_bytes_(value_bytes) {}

base::result<std::vector<record>> snapshot_store::Read() {
  for (int attempt = 1;; ++attempt) {
    BOOST_OUTCOME_TRY(head, store_.Get(kCallClass, head_key_));
    head_version_ = head ? head->version : 0;
    covered_sequence_ = 0;
    if (!head)
      return std::vector<record>();
    BOOST_OUTCOME_TRY(current_head, DecodeHead(*head));
    auto parts = ReadParts(current_head.covered_sequence,
                           current_head.owner_epoch, current_head.parts);
    if (parts.has_value())
      covered_sequence_ = current_head.covered_sequence;
    if (parts.has_value() || attempt == kMaxReadAttempts)
      return parts;
    // A former owner may have replaced the snapshot while it was read.
    BOOST_OUTCOME_TRY(now, store_.Get(kCallClass, head_key_));
    if (now && now->version == head_version_)
      return parts;
  }
}

base::result<std::vector<record>> snapshot_store::ReadParts(
    sequence covered_sequence,
    epoch owner_epoch,
    std::size_t count) {
  std::vector<record> parts;
  for (std::size_t part = 0; part < count; ++part) {
    const std::string key =
        PartKey(key_prefix_, {covered_sequence, owner_epoch, count}, part);
    BOOST_OUTCOME_TRY(found, store_.Get(kCallClass, key));
    if (!found)
      return Corrupt(key, "is missing");
    BOOST_OUTCOME_TRY(read, DecodeRecord(found->value));
    if (read.sequence != covered_sequence)
      return Corrupt(key, "belongs to another snapshot");
    parts.push_back(std::move(read));
  }
  return parts;
}

base::result<void> snapshot_store::Write(const record& snapshot) {
  const std::vector<std::string> parts = EncodeParts(snapshot, value_bytes_);
  const head_record head{snapshot.sequence, snapshot.epoch, parts.size()};
  for (std::size_t part = 0; part < parts.size(); ++part) {
    BOOST_OUTCOME_TRY(WritePart(PartKey(key_prefix_, head, part), parts[part]));
  }
  BOOST_OUTCOME_TRY(WriteHead(snapshot, parts.size()));
  covered_sequence_ = snapshot.sequence;
  DeleteOlder(snapshot);
  return base::Success();
}

base::result<void> snapshot_store::WritePart(const std::string& key,
                                             const std::string& value) {
  const auto written = store_.Put(kCallClass, {key, value, 0, 0});
  if (written.has_value())
    return base::Success();
  // An earlier attempt may have written the same part.
  BOOST_OUTCOME_TRY(found, store_.Get(kCallClass, key));
  if (found && found->value == value)
    return base::Success();
  return written.error();
}

base::result<void> snapshot_store::WriteHead(const record& snapshot,
                                             std::size_t parts) {
  const std::string text =
      EncodeHead({snapshot.sequence, snapshot.epoch, parts});
  const auto written =
      store_.Put(kCallClass, {head_key_, text, head_version_, 0});
  if (written.has_value()) {
    head_version_ = written.value();
    return base::Success();
  }
  BOOST_OUTCOME_TRY(found, store_.Get(kCallClass, head_key_));
  if (!found)
    return written.error();
  if (found->value == text) {
    head_version_ = found->version;
    return base::Success();
  }
  BOOST_OUTCOME_TRY(other, DecodeHead(*found));
  if (other.owner_epoch > snapshot.epoch) {
    return base::error{base::error_kind::kFenced,
                       "another owner has written " + head_key_,
                       "stop acting for this shard"};
  }
  // A delayed write of this owner or of the former one has taken effect.
  head_version_ = found->version;
  covered_sequence_ = other.covered_sequence;
  return written.error();
}

void snapshot_store::DeleteOlder(const record& current) {
  // Parts that remain after an error are deleted with the next snapshot. Only
  // older snapshots are deleted, because this owner may have been replaced
  // since it wrote the head.
  const auto listed = store_.List(kCallClass, key_prefix_);
  if (!listed.has_value())
    return;
  const head_record current_head{current.sequence, current.epoch, 0};
  for (const coordination::store_entry& entry : listed.value().entries) {
    const auto snapshot = ParsePartKey(key_prefix_, entry.key);
    if (snapshot && snapshot->AsPair() < current_head.AsPair())
      static_cast<void>(store_.Delete(kCallClass, entry.key, entry.version));
  }
}

}  // namespace chivecrank::journal
