#include "chivecrank/configuration/repository.h"

#include <algorithm>
#include <utility>

#include "chivecrank/configuration/codec.h"
#include "chivecrank/configuration/validation.h"

namespace chivecrank::configuration {
namespace {

constexpr coordination::call_class kClass =
    coordination::call_class::kConfiguration;
constexpr std::size_t kRevisionDigits = 12;
constexpr std::size_t kMaxTextBytes = std::size_t{1} << 20;

std::string HistoryKey(revision number) {
  std::string digits = std::to_string(number);
  digits.insert(0, kRevisionDigits - digits.size(), '0');
  return kHistoryPrefix + digits;
}

base::error ConflictError(const snapshot& head) {
  return {
      base::error_kind::kConflict,
      "revision " + std::to_string(head.revision) + " by " + head.author +
          " is newer than the revision on which this change is based",
      "fetch the newest revision, make the change there and apply it again"};
}

base::error NotAcceptedError(const snapshot& written) {
  return {base::error_kind::kUnavailable,
          "revision " + std::to_string(written.revision) +
              " was not accepted, because it did not reach the store",
          "apply the change again"};
}

base::error TooLargeError(std::size_t size) {
  return {base::error_kind::kInvalidArgument,
          "the configuration has " + std::to_string(size) +
              " bytes, but the limit of the store is " +
              std::to_string(kMaxTextBytes) + " bytes",
          "remove unused accounts, templates or parameters"};
}

struct versioned_head {
  snapshot accepted;
  coordination::version version = 0;
};

base::result<versioned_head> ReadHead(coordination::store& store) {
  BOOST_OUTCOME_TRY(found, store.Get(kClass, kHeadKey));
  if (!found)
    return versioned_head{};
  BOOST_OUTCOME_TRY(accepted, DecodeSnapshot(found->value));
  return versioned_head{std::move(accepted), found->version};
}

}  // namespace

repository::repository(coordination::store& store,
                       base::clock& clock,
                       std::function<std::string()> new_write_id,
                       outcome_check_settings outcome_check)
    : store_(store),
      clock_(clock),
      new_write_id_(std::move(new_write_id)),
      outcome_check_(outcome_check) {}

base::result<snapshot> repository::GetHead() {
  BOOST_OUTCOME_TRY(head, ReadHead(store_));
  return head.accepted;
}

base::result<snapshot> repository::Accept(const proposal& change) {
  const std::vector<validation_error> errors = Validate(change.content);
  if (!errors.empty()) {
    return base::error{base::error_kind::kInvalidArgument, Describe(errors),
                       "correct these values and apply again"};
  }
  BOOST_OUTCOME_TRY(head, ReadHead(store_));
  if (head.accepted.revision != change.base)
    return FindEarlierAcceptance(change, head.accepted);
  snapshot next{change.base + 1,
                change.author,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    clock_.WallNow().time_since_epoch())
                    .count(),
                change.write_id.empty() ? new_write_id_() : change.write_id,
                change.comment,
                change.content};
  const std::string text = EncodeSnapshot(next);
  if (text.size() > kMaxTextBytes)
    return TooLargeError(text.size());
  BOOST_OUTCOME_TRY(Archive(head.accepted));
  const auto written = store_.Put(kClass, {kHeadKey, text, head.version, 0});
  if (written.has_value())
    return next;
  switch (written.error().kind) {
    case base::error_kind::kOutcomeUnknown:
    case base::error_kind::kTimeout:
    case base::error_kind::kConflict:
      return ResolveOutcome(next, head.version);
    default:
      return written.error();
  }
}

base::result<snapshot> repository::FindEarlierAcceptance(const proposal& change,
                                                         const snapshot& head) {
  const revision number = change.base + 1;
  if (change.write_id.empty() || head.revision < number)
    return ConflictError(head);
  BOOST_OUTCOME_TRY(found, GetRevision(number));
  if (found.write_id == change.write_id)
    return found;
  return ConflictError(head);
}

base::result<void> repository::Archive(const snapshot& head) {
  if (head.revision == 0)
    return base::Success();
  const auto written = store_.Put(
      kClass, {HistoryKey(head.revision), EncodeSnapshot(head), 0, 0});
  if (written.has_value() ||
      written.error().kind == base::error_kind::kConflict) {
    return base::Success();
  }
  return base::error{
      written.error().kind == base::error_kind::kOutcomeUnknown
          ? base::error_kind::kUnavailable
          : written.error().kind,
      "the history could not be written: " + written.error().message,
      "apply the change again; it was not accepted"};
}

base::result<snapshot> repository::ResolveOutcome(
    const snapshot& written,
    coordination::version expected) {
  const base::time_point end = clock_.Now() + outcome_check_.timeout;
  std::chrono::milliseconds delay = outcome_check_.initial_delay;
  while (true) {
    if (const auto outcome = TryResolveOutcome(written, expected))
      return *outcome;
    if (clock_.Now() >= end)
      break;
    clock_.SleepUntil(std::min(end, clock_.Now() + delay));
    delay = std::min(delay * 2, outcome_check_.max_delay);
  }
  return base::error{base::error_kind::kOutcomeUnknown,
                     "the store did not confirm whether it accepted revision " +
                         std::to_string(written.revision),
                     "send the same change again with the write id " +
                         written.write_id + "; it cannot be accepted twice"};
}

std::optional<base::result<snapshot>> repository::TryResolveOutcome(
    const snapshot& written,
    coordination::version expected) {
  const auto read = ReadHead(store_);
  if (!read.has_value() || read.value().version < expected)
    return std::nullopt;
  const versioned_head& head = read.value();
  if (head.accepted.write_id == written.write_id)
    return written;
  if (head.version == expected) {
    // The write may still arrive. Rewriting the unchanged head gives it a new
    // version, so that the late write fails and "not accepted" stays true.
    const std::string unchanged_text = EncodeSnapshot(head.accepted);
    if (!store_.Put(kClass, {kHeadKey, unchanged_text, expected, 0})
             .has_value())
      return std::nullopt;
    return NotAcceptedError(written);
  }
  if (head.accepted.revision < written.revision)
    return NotAcceptedError(written);
  if (head.accepted.revision == written.revision)
    return ConflictError(head.accepted);
  const auto archived = GetRevision(written.revision);
  if (!archived.has_value())
    return std::nullopt;
  if (archived.value().write_id == written.write_id)
    return written;
  return ConflictError(head.accepted);
}

base::result<snapshot> repository::GetRevision(revision number) {
  BOOST_OUTCOME_TRY(head, ReadHead(store_));
  if (head.accepted.revision == number && number != 0)
    return head.accepted;
  BOOST_OUTCOME_TRY(found, store_.Get(kClass, HistoryKey(number)));
  if (!found) {
    return base::error{base::error_kind::kNotFound,
                       "there is no revision " + std::to_string(number),
                       "list the revisions with the history command"};
  }
  return DecodeSnapshot(found->value);
}

base::result<std::vector<snapshot>> repository::ListRevisions() {
  BOOST_OUTCOME_TRY(listing, store_.List(kClass, kHistoryPrefix));
  std::vector<snapshot> all;
  for (const coordination::store_entry& entry : listing.entries) {
    BOOST_OUTCOME_TRY(past, DecodeSnapshot(entry.value));
    all.push_back(std::move(past));
  }
  BOOST_OUTCOME_TRY(head, ReadHead(store_));
  const revision newest = head.accepted.revision;
  std::erase_if(all,
                [&](const snapshot& past) { return past.revision >= newest; });
  if (newest != 0)
    all.push_back(std::move(head.accepted));
  return all;
}

}  // namespace chivecrank::configuration
