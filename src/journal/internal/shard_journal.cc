#include "chivecrank/journal/shard_journal.h"

#include <algorithm>
#include <utility>

#include "chivecrank/journal/record_codec.h"

namespace chivecrank::journal {
namespace {

constexpr coordination::call_class kClass = coordination::call_class::kJournal;
constexpr std::size_t kSlotDigits = 12;
/// A former owner's last write may land while the journal is read.
constexpr int kOpenTries = 4;
/// Slots that only new owners may use, to open their epochs.
constexpr sequence kOpenReserve = 4;

base::error Fenced(const std::string& prefix) {
  return {base::error_kind::kFenced, "another owner has written to " + prefix,
          "stop acting for this shard"};
}

base::error NotOpen(const std::string& prefix) {
  return {base::error_kind::kInternal, prefix + " is not open", "open it"};
}

base::error Pending(const std::string& prefix) {
  return {base::error_kind::kOutcomeUnknown,
          "the last append to " + prefix + " may or may not have been written",
          "retry it before the next one"};
}

base::error TooLarge(const std::string& prefix) {
  return {base::error_kind::kResourceExhausted,
          "a record for " + prefix + " is larger than a value may be",
          "commit fewer events at once"};
}

base::error Full(const std::string& prefix) {
  return {base::error_kind::kResourceExhausted,
          prefix + " is full until a snapshot covers it",
          "write a snapshot first"};
}

base::error Missing(const std::string& prefix, sequence number) {
  return {base::error_kind::kCorrupt,
          "record " + std::to_string(number) + " of " + prefix + " is missing",
          "restore the key; no task of the shard is led until then"};
}

}  // namespace

shard_journal::shard_journal(coordination::store& store,
                             const std::string& shard,
                             std::string writer,
                             journal_limits limits)
    : store_(store),
      prefix_("shards/" + shard + "/journal/"),
      writer_(std::move(writer)),
      limits_(limits),
      snapshots_(store, shard, limits.value_bytes) {}

base::result<std::vector<record>> shard_journal::Open(epoch owner_epoch) {
  opened_ = false;
  pending_.reset();
  for (int tries = 1;; ++tries) {
    BOOST_OUTCOME_TRY(records, Read(owner_epoch));
    if (last_ + 1 > snapshots_.covered() + limits_.slots)
      return Full(prefix_);
    epoch_ = owner_epoch;
    const auto written = Write({last_ + 1, epoch_, writer_, {}});
    if (written.has_value()) {
      opened_ = true;
      return records;
    }
    pending_.reset();
    // The slot was taken since it was read; reading again tells by whom.
    if (written.error().kind != base::error_kind::kFenced ||
        tries == kOpenTries)
      return written.error();
  }
}

base::result<std::vector<record>> shard_journal::Read(epoch owner_epoch) {
  BOOST_OUTCOME_TRY(records, snapshots_.Read());
  versions_.assign(limits_.slots, 0);
  std::vector<record> later;
  BOOST_OUTCOME_TRY(listing, store_.List(kClass, prefix_));
  for (const coordination::store_entry& entry : listing.entries) {
    BOOST_OUTCOME_TRY(read, DecodeRecord(entry.value));
    if (read.epoch > owner_epoch)
      return Fenced(prefix_);
    versions_[SlotOf(read.sequence)] = entry.version;
    if (read.sequence > snapshots_.covered())
      later.push_back(std::move(read));
  }
  std::sort(later.begin(), later.end(),
            [](const record& left, const record& right) {
              return left.sequence < right.sequence;
            });
  last_ = snapshots_.covered();
  for (record& read : later) {
    if (read.sequence != last_ + 1)
      return Missing(prefix_, last_ + 1);
    last_ = read.sequence;
    records.push_back(std::move(read));
  }
  return records;
}

base::result<void> shard_journal::Append(
    std::vector<scheduling::event> events) {
  if (!opened_)
    return NotOpen(prefix_);
  if (pending_)
    return Pending(prefix_);
  if (last_ + kOpenReserve >= snapshots_.covered() + limits_.slots)
    return Full(prefix_);
  return Write({last_ + 1, epoch_, writer_, std::move(events)});
}

base::result<void> shard_journal::Retry() {
  if (!pending_)
    return base::Success();
  const record again = *pending_;
  return Write(again);
}

bool shard_journal::WantsSnapshot() const {
  return !pending_ && last_ - snapshots_.covered() >= limits_.snapshot_after;
}

base::result<void> shard_journal::WriteSnapshot(
    const std::vector<scheduling::event>& retained) {
  if (!opened_ || pending_)
    return Pending(prefix_);
  return snapshots_.Write({last_, epoch_, writer_, retained});
}

base::result<void> shard_journal::Write(const record& written) {
  const std::string value = EncodeRecord(written);
  if (value.size() > limits_.value_bytes)
    return TooLarge(prefix_);
  pending_ = written;
  const auto result = store_.Put(
      kClass,
      {KeyOf(written.sequence), value, versions_[SlotOf(written.sequence)], 0});
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
  const auto found = store_.Get(kClass, KeyOf(written.sequence));
  if (!found.has_value())
    return Pending(prefix_);
  const coordination::version now = found.value() ? found.value()->version : 0;
  if (now == versions_[SlotOf(written.sequence)]) {
    // The write may still be under way: the slot takes it or a repeat, once.
    return cause.kind == base::error_kind::kOutcomeUnknown ? Pending(prefix_)
                                                           : cause;
  }
  if (found.value() && found.value()->value == EncodeRecord(written)) {
    Confirm(written, now);
    return base::Success();
  }
  opened_ = false;
  return Fenced(prefix_);
}

void shard_journal::Confirm(const record& written, coordination::version at) {
  versions_[SlotOf(written.sequence)] = at;
  last_ = written.sequence;
  pending_.reset();
}

std::size_t shard_journal::SlotOf(sequence number) const {
  return static_cast<std::size_t>(number % limits_.slots);
}

std::string shard_journal::KeyOf(sequence number) const {
  std::string digits = std::to_string(SlotOf(number));
  digits.insert(0, kSlotDigits - digits.size(), '0');
  return prefix_ + digits;
}

}  // namespace chivecrank::journal
