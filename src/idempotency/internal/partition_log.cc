#include "chivecrank/idempotency/partition_log.h"

#include <algorithm>
#include <utility>

#include "internal/log_codec.h"

namespace chivecrank::idempotency {
namespace {

using coordination::call_class;

/// A head above this size is sealed into a segment.
constexpr std::size_t kHeadBytes = std::size_t{16} * 1024;

base::error Fenced(const std::string& prefix) {
  return {base::error_kind::kFenced, "another entry took over " + prefix,
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
    BOOST_OUTCOME_TRY(former, internal::DecodeHead(found->value));
    *head_ = std::move(former);
    version_ = found->version;
    contents.clean = head_->closed;
  }
  ++head_->epoch;
  head_->writer = writer_;
  head_->write = 1;
  head_->closed = false;
  BOOST_OUTCOME_TRY(WriteHead());
  segments_.clear();
  sealed_ = 0;
  // Counted from now on, so a key is never forgotten early.
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
  SealWhenFull();
  DropExpired();
  head_->entries.insert(head_->entries.end(), entries.begin(), entries.end());
  ++head_->write;
  return WriteHead();
}

base::result<void> partition_log::Retry() {
  return WriteHead();
}

base::result<void> partition_log::Close() {
  head_->closed = true;
  ++head_->write;
  return WriteHead();
}

base::result<void> partition_log::Check() {
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

base::result<void> partition_log::ReadBack(const base::error& doubt) {
  const base::error unsure{base::error_kind::kOutcomeUnknown, doubt.message,
                           "repeat the same write"};
  const auto found = store_.Get(call_class::kIntent, HeadKey());
  if (!found.has_value())
    return unsure;
  if (!found.value())
    return version_ == 0 ? unsure : Fenced(prefix_);
  BOOST_OUTCOME_TRY(current, internal::DecodeHead(found.value()->value));
  const bool ours = current.writer == writer_ &&
                    current.epoch == head_->epoch &&
                    current.write == head_->write;
  if (ours) {
    version_ = found.value()->version;
    return base::Success();
  }
  // Still at the version before: the write may be under way.
  if (found.value()->version == version_)
    return unsure;
  return Fenced(prefix_);
}

void partition_log::SealWhenFull() {
  if (internal::EncodeHead(*head_).size() < kHeadBytes)
    return;
  // A name is never used again: a write in doubt may still land under it.
  ++sealed_;
  const std::string name =
      std::to_string(head_->epoch) + "-" + std::to_string(sealed_);
  const auto written =
      store_.Put(call_class::kIntent,
                 {SegmentKey(name), internal::EncodeHead(*head_), 0, 0});
  // A head that can't be sealed now only grows.
  if (!written.has_value())
    return;
  segments_.push_back({name, clock_.Now()});
  head_->segments.push_back(name);
  head_->entries.clear();
}

void partition_log::DropExpired() {
  const base::time_point now = clock_.Now();
  while (!segments_.empty() && now - segments_.front().since > retention_) {
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
    const std::vector<std::string>& named) {
  BOOST_OUTCOME_TRY(listing, store_.List(call_class::kIntent, SegmentKey("")));
  DeleteUnnamed(listing, named);
  std::vector<log_entry> entries;
  for (const std::string& name : named) {
    const auto found =
        std::find_if(listing.entries.begin(), listing.entries.end(),
                     [&](const coordination::store_entry& entry) {
                       return entry.key == SegmentKey(name);
                     });
    // An expired segment goes before its name does.
    if (found == listing.entries.end())
      continue;
    BOOST_OUTCOME_TRY(segment, internal::DecodeHead(found->value));
    entries.insert(entries.end(), segment.entries.begin(),
                   segment.entries.end());
  }
  return entries;
}

void partition_log::DeleteUnnamed(const coordination::store_listing& listing,
                                  const std::vector<std::string>& named) {
  for (const coordination::store_entry& entry : listing.entries) {
    const bool kept = std::any_of(
        named.begin(), named.end(),
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
