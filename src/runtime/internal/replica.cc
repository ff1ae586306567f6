#include "chivecrank/runtime/replica.h"

#include <set>
#include <utility>

#include "chivecrank/base/numbers.h"
#include "chivecrank/submissions/record_codec.h"

namespace chivecrank::runtime {

std::string EncodeAccepted(const submissions::submission& accepted) {
  return std::to_string(accepted.shard) + " " + accepted.queue + "\n" +
         submissions::EncodeSubmission(accepted);
}

void replica::Apply(const metadata::change& change) {
  const auto key = ParseSharedKey(change.now.key);
  if (!key)
    return;
  metadata::revision& known = key_revisions_[change.now.key];
  if (change.now.changed_at <= known)
    return;
  known = change.now.changed_at;
  if (!change.deleted)
    return ApplyPut(*key, change.now);
  key_revisions_.erase(change.now.key);
  ApplyDelete(*key);
}

void replica::Reset(const std::vector<metadata::item>& items) {
  std::set<std::string> present;
  for (const metadata::item& item : items) {
    present.insert(item.key);
    Apply({item, false});
  }
  std::vector<std::string> deleted_keys;
  for (const auto& [key, revision] : key_revisions_)
    if (!present.contains(key))
      deleted_keys.push_back(key);
  for (const std::string& key : deleted_keys) {
    if (const auto parsed = ParseSharedKey(key))
      ApplyDelete(*parsed);
    key_revisions_.erase(key);
  }
}

const known_submission* replica::Find(const std::string& id) const {
  const auto found = submissions_.find(id);
  if (found == submissions_.end() || !found->second.accepted)
    return nullptr;
  return &found->second;
}

std::optional<known_tenure> replica::TenureOf(std::uint32_t shard) const {
  const auto found = tenures_.find(shard);
  if (found == tenures_.end())
    return std::nullopt;
  return found->second;
}

bool replica::HasStarted(const std::string& id,
                         const known_submission& known) const {
  const auto status = statuses_.find(known.shard);
  if (status == statuses_.end())
    return false;
  // A submission that the owner did not know of counts as not started.
  return known.accepted_revision <= status->second.as_of &&
         !status->second.not_started.contains(id);
}

std::optional<submissions::worker_sizes> replica::SizesFor(
    const std::string& service) const {
  submissions::worker_sizes all;
  for (std::uint32_t shard = 0; shard < shard_count_; ++shard) {
    const auto status = statuses_.find(shard);
    if (status == statuses_.end() || !status->second.sizes.Knows(service))
      return std::nullopt;
    all.Add(status->second.sizes);
  }
  return all;
}

std::int64_t replica::CountQueued(const std::string& queue) const {
  std::int64_t waiting = 0;
  for (const auto& [id, known] : submissions_)
    if (known.accepted && known.queue == queue && !known.Ended() &&
        !HasStarted(id, known))
      ++waiting;
  return waiting;
}

void replica::ApplyPut(const shared_key& key, const metadata::item& item) {
  switch (key.kind) {
    case key_kind::kShardCount:
      shard_count_ = base::ParseInteger<std::uint32_t>(item.value).value_or(0);
      return;
    case key_kind::kMember:
      members_[key.name] = {
          base::ParseInteger<std::int64_t>(item.value).value_or(0)};
      return;
    case key_kind::kOwner:
      if (const auto shard = ParseShardName(key.name)) {
        owners_[*shard] = {item.value, item.changed_at};
        if (hooks_.on_owner)
          hooks_.on_owner(*shard);
      }
      return;
    case key_kind::kShardStatus: {
      const auto shard = ParseShardName(key.name);
      auto status = DecodeShardStatus(item);
      if (!shard || !status)
        return;
      statuses_[*shard] = std::move(*status);
      if (hooks_.on_status)
        hooks_.on_status(*shard);
      return;
    }
    case key_kind::kSubmission:
      return ApplySubmission(key.name, item);
    case key_kind::kCancellation: {
      known_submission& known = submissions_[key.name];
      known.cancelled = true;
      return MarkEnded(key.name, known);
    }
    case key_kind::kOutcome: {
      const auto outcome = submissions::DecodeOutcome(item.value);
      if (!outcome)
        return;
      known_submission& known = submissions_[key.name];
      known.outcome = outcome.value();
      return MarkEnded(key.name, known);
    }
    case key_kind::kTenure: {
      const auto shard = ParseShardName(key.name);
      const auto record = DecodeTenure(item.value);
      if (shard && record)
        tenures_[*shard] = {*record, item.changed_at, now_()};
      return;
    }
  }
}

void replica::ApplyDelete(const shared_key& key) {
  switch (key.kind) {
    case key_kind::kShardCount:
      return;
    case key_kind::kMember:
      members_.erase(key.name);
      return;
    case key_kind::kOwner:
      if (const auto shard = ParseShardName(key.name)) {
        owners_.erase(*shard);
        if (hooks_.on_owner)
          hooks_.on_owner(*shard);
      }
      return;
    case key_kind::kShardStatus:
      if (const auto shard = ParseShardName(key.name))
        statuses_.erase(*shard);
      return;
    case key_kind::kSubmission:
      submissions_.erase(key.name);
      return;
    case key_kind::kCancellation:
    case key_kind::kOutcome:
      // These keys are deleted in the same transaction as their submission.
      return;
    case key_kind::kTenure:
      if (const auto shard = ParseShardName(key.name))
        tenures_.erase(*shard);
      return;
  }
}

void replica::ApplySubmission(const std::string& id,
                              const metadata::item& item) {
  const std::size_t line_end = item.value.find('\n');
  const std::size_t space = item.value.find(' ');
  if (line_end == std::string::npos || space > line_end)
    return;
  known_submission& known = submissions_[id];
  const auto shard =
      base::ParseInteger<std::uint32_t>(item.value.substr(0, space));
  if (!shard)
    return;
  if (known.accepted) {
    known.accepted_revision = item.changed_at;
    return MoveSubmission(id, known, *shard);
  }
  known.shard = *shard;
  known.accepted = true;
  known.accepted_revision = item.changed_at;
  known.queue = item.value.substr(space + 1, line_end - space - 1);
  if (known.Ended())
    return ReportEnd(id, known);
  known.record = item.value.substr(line_end + 1);
  if (hooks_.on_accepted)
    hooks_.on_accepted(id);
}

void replica::MoveSubmission(const std::string& id,
                             known_submission& known,
                             std::uint32_t shard) {
  if (known.shard == shard)
    return;
  const std::uint32_t from = std::exchange(known.shard, shard);
  if (known.Ended())
    return ReportEnd(id, known);
  if (hooks_.on_moved)
    hooks_.on_moved(id, from);
}

void replica::MarkEnded(const std::string& id, known_submission& known) {
  known.record.clear();
  known.record.shrink_to_fit();
  ReportEnd(id, known);
}

void replica::ReportEnd(const std::string& id, const known_submission& known) {
  // The shard of a submission that isn't known yet is reported with it.
  if (known.accepted && hooks_.on_ended)
    hooks_.on_ended(id);
}

}  // namespace chivecrank::runtime
