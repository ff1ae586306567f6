#include "chivecrank/configuration/repository.h"

#include <algorithm>
#include <utility>

#include "chivecrank/configuration/codec.h"
#include "chivecrank/configuration/validation.h"

namespace chivecrank::configuration {
namespace {

constexpr platform::call_class kClass = platform::call_class::kConfiguration;
constexpr std::size_t kRevisionDigits = 12;

std::string HistoryKey(revision number) {
  std::string digits = std::to_string(number);
  digits.insert(0, kRevisionDigits - digits.size(), '0');
  return kHistoryPrefix + digits;
}

base::error Conflict(const snapshot& head) {
  return {base::error_kind::kConflict,
          "revision " + std::to_string(head.revision) + " by " + head.author +
              " is newer than the one this change is based on",
          "get the newest revision, apply the change to it and try again"};
}

struct versioned_head {
  snapshot accepted;
  platform::version version = 0;
};

base::result<versioned_head> ReadHead(platform::store& store) {
  BOOST_OUTCOME_TRY(found, store.Get(kClass, kHeadKey));
  if (!found)
    return versioned_head{};
  BOOST_OUTCOME_TRY(accepted, DecodeSnapshot(found->value));
  return versioned_head{std::move(accepted), found->version};
}

}  // namespace

repository::repository(platform::store& store,
                       base::clock& clock,
                       std::function<std::string()> new_write_id)
    : store_(store), clock_(clock), new_write_id_(std::move(new_write_id)) {}

base::result<snapshot> repository::Head() {
  BOOST_OUTCOME_TRY(head, ReadHead(store_));
  return head.accepted;
}

base::result<snapshot> repository::Accept(const proposal& change) {
  const std::vector<fault> faults = Validate(change.content);
  if (!faults.empty()) {
    return base::error{base::error_kind::kInvalidArgument, Describe(faults),
                       "correct these values and apply again"};
  }
  BOOST_OUTCOME_TRY(head, ReadHead(store_));
  if (head.accepted.revision != change.base)
    return Conflict(head.accepted);
  BOOST_OUTCOME_TRY(Archive(head.accepted));
  snapshot next{change.base + 1,
                change.author,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    clock_.WallNow().time_since_epoch())
                    .count(),
                new_write_id_(),
                change.comment,
                change.content};
  const auto written =
      store_.Put(kClass, {kHeadKey, EncodeSnapshot(next), head.version, 0});
  if (written.has_value())
    return next;
  if (written.error().kind == base::error_kind::kUnavailable)
    return written.error();
  return ReadBack(next);
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

base::result<snapshot> repository::ReadBack(const snapshot& written) {
  const auto head = ReadHead(store_);
  if (!head.has_value()) {
    return base::error{
        base::error_kind::kOutcomeUnknown,
        "the store did not tell whether it accepted revision " +
            std::to_string(written.revision),
        "look for the write id " + written.write_id + " in the history"};
  }
  const snapshot& current = head.value().accepted;
  if (current.write_id == written.write_id)
    return written;
  if (current.revision < written.revision)
    return base::error{base::error_kind::kOutcomeUnknown,
                       "the write of revision " +
                           std::to_string(written.revision) +
                           " is not in the store yet and may still arrive",
                       "read the history before trying again"};
  const auto archived = At(written.revision);
  if (archived.has_value() && archived.value().write_id == written.write_id)
    return written;
  return Conflict(current);
}

base::result<snapshot> repository::At(revision number) {
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

base::result<std::vector<snapshot>> repository::History() {
  BOOST_OUTCOME_TRY(listing, store_.List(kClass, kHistoryPrefix));
  std::vector<snapshot> all;
  for (const platform::store_entry& entry : listing.entries) {
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
