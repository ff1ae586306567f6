#include "chivecrank/journal/shard_journal.h"

#include <algorithm>
#include <utility>

#include "chivecrank/journal/record_codec.h"

namespace chivecrank::journal {
namespace {

constexpr coordination::call_class kCallClass =
    coordination::call_class::kJournal;
constexpr std::size_t kSlotDigits = 12;
/// A former owner's last write may take effect while the journal is read.
constexpr int kMaxOpenAttempts = 4;
/// Slots that only new owners may use, to open their epochs when the ring is
/// full.
constexpr sequence kSlotsReservedForOpen = 4;

base::error FencedError(const std::string& prefix) {
  return {base::error_kind::kFenced, "another owner has written to " + prefix,
          "stop acting for this shard"};
}

base::error NotOpenError(const std::string& prefix) {
  return {base::error_kind::kInternal, prefix + " is not open",
          "open it first"};
}

base::error PendingError(const std::string& prefix) {
  return {base::error_kind::kOutcomeUnknown,
          "the last append to " + prefix + " may or may not have been written",
          "retry it before the next one"};
}

base::error TooLargeError(const std::string& prefix) {
  return {base::error_kind::kResourceExhausted,
          "a record for " + prefix + " is larger than a value may be",
          "commit fewer events at once"};
}

base::error FullError(const std::string& prefix) {
  return {base::error_kind::kResourceExhausted,
          prefix + " is full until a snapshot covers it",
          "write a snapshot first"};
}

base::error MissingRecordError(const std::string& prefix, sequence number) {
  return {base::error_kind::kCorrupt,
          "record " + std::to_string(number) + " of " + prefix + " is missing",
          "restore the key; no task of the shard runs until then"};
}

}  // namespace

shard_journal::shard_journal(coordination::store& store,
                             const std::string& shard,
                             std::string writer,
                             journal_limits limits)
    : store_(store),
      key_prefix_("shards/" + shard + "/journal/"),
      writer_(std::move(writer)),
      limits_(limits),
      snapshot_store_(store, shard, limits.value_bytes) {}

base::result<std::vector<record>> shard_journal::Open(epoch owner_epoch) {
  opened_ = false;
  pending_.reset();
  for (int attempt = 1;; ++attempt) {
    BOOST_OUTCOME_TRY(records, Read(owner_epoch));
    if (last_sequence_ + 1 > snapshot_store_.covered_sequence() + limits_.slots)
      return FullError(key_prefix_);
    epoch_ = owner_epoch;
    const auto written = Write({last_sequence_ + 1, epoch_, writer_, {}});
    if (written.has_value()) {
      opened_ = true;
      return records;
    }
    pending_.reset();
    // The slot was written since it was read; reading again shows by whom.
    if (written.error().kind != base::error_kind::kFenced ||
        attempt == kMaxOpenAttempts)
      return written.error();
  }
}

base::result<std::vector<record>> shard_journal::Read(epoch owner_epoch) {
  BOOST_OUTCOME_TRY(records, snapshot_store_.Read());
  slot_versions_.assign(limits_.slots, 0);
  std::vector<record> later;
  BOOST_OUTCOME_TRY(listing, store_.List(kCallClass, key_prefix_));
  for (const coordination::store_entry& entry : listing.entries) {
    BOOST_OUTCOME_TRY(read, DecodeRecord(entry.value));
    if (read.epoch > owner_epoch)
      return FencedError(key_prefix_);
    slot_versions_[SlotOf(read.sequence)] = entry.version;
    if (read.sequence > snapshot_store_.covered_sequence())
      later.push_back(std::move(read));
  }
  std::sort(later.begin(), later.end(),
            [](const record& left, const record& right) {
              return left.sequence < right.sequence;
            });
  last_sequence_ = snapshot_store_.covered_sequence();
  for (record& read : later) {
    if (read.sequence != last_sequence_ + 1)
      return MissingRecordError(key_prefix_, last_sequence_ + 1);
    last_sequence_ = read.sequence;
    records.push_back(std::move(read));
  }
  return records;
}

base::result<void> shard_journal::Append(
    std::vector<scheduling::event> events) {
  if (!opened_)
    return NotOpenError(key_prefix_);
  if (pending_)
    return PendingError(key_prefix_);
  if (last_sequence_ + kSlotsReservedForOpen >=
      snapshot_store_.covered_sequence() + limits_.slots)
    return FullError(key_prefix_);
  return Write({last_sequence_ + 1, epoch_, writer_, std::move(events)});
}

base::result<void> shard_journal::Retry() {
  if (!pending_)
    return base::Success();
  const record retried = *pending_;
  return Write(retried);
}

bool shard_journal::IsSnapshotDue() const {
  return !pending_ && last_sequence_ - snapshot_store_.covered_sequence() >=
                          limits_.records_per_snapshot;
}

base::result<void> shard_journal::WriteSnapshot(
    const std::vector<scheduling::event>& retained) {
  if (!opened_ || pending_)
    return PendingError(key_prefix_);
  return snapshot_store_.Write({last_sequence_, epoch_, writer_, retained});
}

base::result<void> shard_journal::Write(const record& written) {
  const std::string value = EncodeRecord(written);
  if (value.size() > limits_.value_bytes)
    return TooLargeError(key_prefix_);
  pending_ = written;
  const auto result =
      store_.Put(kCallClass, {KeyOf(written.sequence), value,
                              slot_versions_[SlotOf(written.sequence)], 0});
  if (result.has_value()) {
    Confirm(written, result.value());
    return base::Success();
  }
  if (result.error().kind == base::error_kind::kUnavailable)
    return result.error();
  return ReadBack(written, result.error());
}

base::result<void> shard_journal::ReadBack(const record& written,
                                           const base::error& cause) {
  const auto found = store_.Get(kCallClass, KeyOf(written.sequence));
  if (!found.has_value())
    return PendingError(key_prefix_);
  const coordination::version now = found.value() ? found.value()->version : 0;
  if (now == slot_versions_[SlotOf(written.sequence)]) {
    // The write may still be in progress. The slot accepts it or a repetition,
    // but only once.
    return cause.kind == base::error_kind::kOutcomeUnknown
               ? PendingError(key_prefix_)
               : cause;
  }
  if (found.value() && found.value()->value == EncodeRecord(written)) {
    Confirm(written, now);
    return base::Success();
  }
  opened_ = false;
  return FencedError(key_prefix_);
}

void shard_journal::Confirm(const record& written, coordination::version at) {
  slot_versions_[SlotOf(written.sequence)] = at;
  last_sequence_ = written.sequence;
  pending_.reset();
}

std::size_t shard_journal::SlotOf(sequence number) const {
  return static_cast<std::size_t>(number % limits_.slots);
}

std::string shard_journal::KeyOf(sequence number) const {
  std::string digits = std::to_string(SlotOf(number));
  digits.insert(0, kSlotDigits - digits.size(), '0');
  return key_prefix_ + digits;
}

}  // namespace chivecrank::journal
