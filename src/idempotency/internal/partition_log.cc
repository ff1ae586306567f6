#include "chivecrank/idempotency/partition_log.h"

#include <algorithm>
#include <utility>

#include "internal/log_codec.h"

namespace chivecrank::idempotency {
namespace {

using coordination::call_class;

/// A head of at least this size is sealed into a segment.
constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;

base::error Fenced(const std::string& prefix) {
  return {base::error_kind::kFenced, "another entry has taken over " + prefix,
          "send the request to the new home"};
}

std::string PrefixOf(partition_id number) {
  return "requests/" + std::to_string(number) + "/";
}

}  // namespace

base::result<std::optional<log_owner>> ReadOwner(coordination::store& store,
                                                 partition_id number) {
  BOOST_OUTCOME_TRY(found,
                    store.Get(call_class::kIntent, PrefixOf(number) + "head"));
  if (!found)
    return std::optional<log_owner>();
  BOOST_OUTCOME_TRY(head, internal::DecodeHead(found->value));
  return std::optional<log_owner>({head.writer, head.closed});
}

partition_log::partition_log(coordination::store& store,
                             base::clock& clock,
                             partition_id number,
                             std::string writer,
                             std::chrono::milliseconds retention)
    : store_(store),
      clock_(clock),
      prefix_(PrefixOf(number)),
      writer_(std::move(writer)),
      retention_(retention),
      head_(std::make_unique<internal::log_head>()) {}

partition_log::~partition_log() = default;

base::result<log_contents> partition_log::Open() {
  BOOST_OUTCOME_TRY(found, store_.Get(call_class::kIntent, HeadKey()));
  log_contents contents;
  *head_ = {};
  version_ = 0;
  if (found) {
    BOOST_OUTCOME_TRY(previous, internal::DecodeHead(found->value));
    *head_ = std::move(previous);
    version_ = found->version;
    contents.clean = head_->closed;
  }
  ++head_->epoch;
  head_->writer = writer_;
  head_->write_number = 1;
  head_->closed = false;
  BOOST_OUTCOME_TRY(WriteHead());
  segments_.clear();
  sealed_count_ = 0;
  // Retention is counted from now, so that a key is never forgotten early.
  for (const std::string& name : head_->segments)
    segments_.push_back({name, clock_.Now()});
  if (!head_->segments.empty()) {
    BOOST_OUTCOME_TRY(older, ReadSegments(head_->segments));
    contents.entries = std::move(older);
  }
  contents.entries.insert(contents.entries.end(), head_->entries.begin(),
                          head_->entries.end());
  return contents;
}

base::result<void> partition_log::Append(
    const std::vector<log_entry>& entries) {
  SealFullHead();
  DropExpiredSegments();
  head_->entries.insert(head_->entries.end(), entries.begin(), entries.end());
  ++head_->write_number;
  return WriteHead();
}

base::result<void> partition_log::RetryWrite() {
  return WriteHead();
}

base::result<void> partition_log::Close() {
  head_->closed = true;
  ++head_->write_number;
  return WriteHead();
}

base::result<void> partition_log::CheckOwnership() {
  BOOST_OUTCOME_TRY(found, store_.Get(call_class::kIntent, HeadKey()));
  if (found && found->version == version_)
    return base::Success();
  return Fenced(prefix_);
}

base::result<void> partition_log::WriteHead() {
  const auto written =
      store_.Put(call_class::kIntent,
                 {HeadKey(), internal::EncodeHead(*head_), version_, 0});
  if (written.has_value()) {
    version_ = written.value();
    return base::Success();
  }
  if (written.error().kind == base::error_kind::kUnavailable)
    return written.error();
  return ReadBack(written.error());
}

base::result<void> partition_log::ReadBack(const base::error& failure) {
  const base::error unknown_outcome{base::error_kind::kOutcomeUnknown,
                                    failure.message, "repeat the same write"};
  const auto found = store_.Get(call_class::kIntent, HeadKey());
  if (!found.has_value())
    return unknown_outcome;
  if (!found.value())
    return version_ == 0 ? unknown_outcome : Fenced(prefix_);
  BOOST_OUTCOME_TRY(stored, internal::DecodeHead(found.value()->value));
  const bool is_own_write = stored.writer == writer_ &&
                            stored.epoch == head_->epoch &&
                            stored.write_number == head_->write_number;
  if (is_own_write) {
    version_ = found.value()->version;
    return base::Success();
  }
  // The head still has the previous version: the write may still take effect.
  if (found.value()->version == version_)
    return unknown_outcome;
  return Fenced(prefix_);
}

void partition_log::SealFullHead() {
  if (internal::EncodeHead(*head_).size() < kMaxHeadBytes)
    return;
  // A name is never reused: a write whose outcome is unknown may still take
  // effect under it.
  ++sealed_count_;
  const std::string name =
      std::to_string(head_->epoch) + "-" + std::to_string(sealed_count_);
  const auto written =
      store_.Put(call_class::kIntent,
                 {SegmentKey(name), internal::EncodeHead(*head_), 0, 0});
  // If sealing fails, the head only grows.
  if (!written.has_value())
    return;
  segments_.push_back({name, clock_.Now()});
  head_->segments.push_back(name);
  head_->entries.clear();
}

void partition_log::DropExpiredSegments() {
  const base::time_point now = clock_.Now();
  while (!segments_.empty() &&
         now - segments_.front().retained_since > retention_) {
    const std::string name = segments_.front().name;
    const auto found = store_.Get(call_class::kIntent, SegmentKey(name));
    if (!found.has_value())
      return;
    if (found.value()) {
      static_cast<void>(store_.Delete(call_class::kIntent, SegmentKey(name),
                                      found.value()->version));
    }
    segments_.erase(segments_.begin());
    std::erase(head_->segments, name);
  }
}

base::result<std::vector<log_entry>> partition_log::ReadSegments(
    const std::vector<std::string>& listed_names) {
  BOOST_OUTCOME_TRY(listing, store_.List(call_class::kIntent, SegmentKey("")));
  DeleteUnlistedSegments(listing, listed_names);
  std::vector<log_entry> entries;
  for (const std::string& name : listed_names) {
    const auto found =
        std::find_if(listing.entries.begin(), listing.entries.end(),
                     [&](const coordination::store_entry& entry) {
                       return entry.key == SegmentKey(name);
                     });
    // An expired segment is deleted before its name is removed from the head.
    if (found == listing.entries.end())
      continue;
    BOOST_OUTCOME_TRY(segment, internal::DecodeHead(found->value));
    entries.insert(entries.end(), segment.entries.begin(),
                   segment.entries.end());
  }
  return entries;
}

void partition_log::DeleteUnlistedSegments(
    const coordination::store_listing& listing,
    const std::vector<std::string>& listed_names) {
  for (const coordination::store_entry& entry : listing.entries) {
    const bool kept = std::any_of(
        listed_names.begin(), listed_names.end(),
        [&](const std::string& name) { return SegmentKey(name) == entry.key; });
    if (!kept) {
      static_cast<void>(
          store_.Delete(call_class::kIntent, entry.key, entry.version));
    }
  }
}

std::string partition_log::HeadKey() const {
  return prefix_ + "head";
}

std::string partition_log::SegmentKey(const std::string& name) const {
  return prefix_ + "segment/" + name;
}

}  // namespace chivecrank::idempotency
