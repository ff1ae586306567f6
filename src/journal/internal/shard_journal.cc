#include "chivecrank/journal/shard_journal.h"

#include <utility>

#include "chivecrank/journal/record_codec.h"

namespace chivecrank::journal {
namespace {

constexpr platform::call_class kClass = platform::call_class::kJournal;
constexpr std::size_t kSequenceDigits = 12;

base::error Fenced(const std::string& prefix) {
  return {base::error_kind::kFenced, "another owner has written to " + prefix,
          "stop acting for this shard"};
}

base::error Unusable(const std::string& prefix) {
  return {base::error_kind::kOutcomeUnknown,
          "the last append to " + prefix + " may or may not have been written",
          "open the journal again"};
}

}  // namespace

shard_journal::shard_journal(platform::store& store,
                             std::string shard,
                             std::string writer)
    : store_(store),
      prefix_("shards/" + std::move(shard) + "/journal/"),
      writer_(std::move(writer)) {}

base::result<std::vector<record>> shard_journal::Open(epoch owner_epoch) {
  usable_ = false;
  BOOST_OUTCOME_TRY(listing, store_.List(kClass, prefix_));
  std::vector<record> records;
  for (const platform::store_entry& entry : listing.entries) {
    BOOST_OUTCOME_TRY(read, DecodeRecord(entry.value));
    if (read.epoch > owner_epoch)
      return Fenced(prefix_);
    records.push_back(std::move(read));
  }
  epoch_ = owner_epoch;
  last_ = records.empty() ? 0 : records.back().sequence;
  usable_ = true;
  BOOST_OUTCOME_TRY(Append({}));
  return records;
}

base::result<void> shard_journal::Append(
    std::vector<scheduling::event> events) {
  if (!usable_)
    return Unusable(prefix_);
  BOOST_OUTCOME_TRY(Write({last_ + 1, epoch_, writer_, std::move(events)}));
  ++last_;
  return base::Success();
}

base::result<void> shard_journal::Write(const record& written) {
  const auto result = store_.Put(
      kClass, {KeyOf(written.sequence), EncodeRecord(written), 0, 0});
  if (result.has_value())
    return base::Success();
  if (result.error().kind == base::error_kind::kUnavailable)
    return result.error();
  return ReadBack(written);
}

base::result<void> shard_journal::ReadBack(const record& written) {
  const auto found = store_.Get(kClass, KeyOf(written.sequence));
  if (!found.has_value() || !found.value()) {
    // A write that is still under way could land after this read.
    usable_ = false;
    return Unusable(prefix_);
  }
  BOOST_OUTCOME_TRY(read, DecodeRecord(found.value()->value));
  if (read.writer == written.writer && read.epoch == written.epoch)
    return base::Success();
  usable_ = false;
  return Fenced(prefix_);
}

std::string shard_journal::KeyOf(sequence number) const {
  std::string digits = std::to_string(number);
  digits.insert(0, kSequenceDigits - digits.size(), '0');
  return prefix_ + digits;
}

}  // namespace chivecrank::journal
