#ifndef CHIVECRANK_RUNTIME_REPLICA_H_
#define CHIVECRANK_RUNTIME_REPLICA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chivecrank/metadata/types.h"
#include "chivecrank/runtime/keys.h"
#include "chivecrank/runtime/shard_status.h"
#include "chivecrank/runtime/shard_tenure.h"
#include "chivecrank/submissions/types.h"
#include "chivecrank/submissions/worker_sizes.h"

namespace chivecrank::runtime {

/// What every instance keeps about a submission.
struct known_submission {
  std::string queue;
  std::uint32_t shard = 0;
  /// The encoded submission; cleared once the submission has ended.
  std::string record;
  bool accepted = false;
  bool cancelled = false;
  std::optional<submissions::submission_outcome> outcome;
  metadata::revision accepted_revision = 0;

  bool Ended() const { return cancelled || outcome.has_value(); }
};

struct known_member {
  /// Processor time that the instance may use, in millicores.
  std::int64_t processors_milli = 0;
};

struct known_owner {
  std::string node;
  /// Revision at which the node became the owner; the fence of its commands.
  metadata::revision since = 0;
};

/// Encodes an accepted submission for the store: first its shard and queue,
/// which every instance needs, then the record, which only the owner decodes.
std::string EncodeAccepted(const submissions::submission& accepted);

/// This instance's copy of the shared keys. Hooks run inside the calls that
/// apply changes.
class replica {
 public:
  struct hooks {
    std::function<void(const std::string& id)> on_accepted;
    /// The submission is cancelled or has an outcome. Called again when it gets
    /// the other one, or another shard.
    std::function<void(const std::string& id)> on_ended;
    /// The submission was moved from shard `from` to another one.
    std::function<void(const std::string& id, std::uint32_t from)> on_moved;
    std::function<void(std::uint32_t shard)> on_owner;
    /// The shard's status was written.
    std::function<void(std::uint32_t shard)> on_status;
  };

  /// `now` returns the time of the instance's event loop.
  explicit replica(std::function<base::time_point()> now)
      : now_(std::move(now)) {}

  void SetHooks(hooks handlers) { hooks_ = std::move(handlers); }

  /// Applies a change; ignores it if it is not newer than the known state of
  /// the key.
  void Apply(const metadata::change& change);
  /// Applies a full listing: keys that are missing from it were deleted.
  void Reset(const std::vector<metadata::item>& items);
  /// Records that all changes up to this revision were applied.
  void SetRevision(metadata::revision revision) { revision_ = revision; }
  metadata::revision Revision() const { return revision_; }

  const known_submission* Find(const std::string& id) const;
  const std::unordered_map<std::string, known_submission>& Submissions() const {
    return submissions_;
  }
  const std::map<std::string, known_member>& Members() const {
    return members_;
  }
  const std::map<std::uint32_t, known_owner>& Owners() const { return owners_; }
  const std::map<std::uint32_t, shard_status>& Statuses() const {
    return statuses_;
  }
  /// Unset if no owner of the shard has recorded a tenure.
  std::optional<known_tenure> TenureOf(std::uint32_t shard) const;
  /// 0 until the number of shards has been decided.
  std::uint32_t ShardCount() const { return shard_count_; }
  /// The largest workers of all shards; nullopt while a shard has told none of
  /// the service.
  std::optional<submissions::worker_sizes> SizesFor(
      const std::string& service) const;
  /// Accepted submissions of a queue that have not started according to the
  /// last shard status.
  std::int64_t CountQueued(const std::string& queue) const;
  bool HasStarted(const std::string& id, const known_submission& known) const;

 private:
  void ApplyPut(const shared_key& key, const metadata::item& item);
  void ApplyDelete(const shared_key& key);
  void MoveSubmission(const std::string& id,
                      known_submission& known,
                      std::uint32_t shard);
  void ApplySubmission(const std::string& id, const metadata::item& item);
  void MarkEnded(const std::string& id, known_submission& known);
  void ReportEnd(const std::string& id, const known_submission& known);

  const std::function<base::time_point()> now_;
  hooks hooks_;
  metadata::revision revision_ = 0;
  std::map<std::string, metadata::revision> key_revisions_;
  std::unordered_map<std::string, known_submission> submissions_;
  std::map<std::string, known_member> members_;
  std::map<std::uint32_t, known_owner> owners_;
  std::map<std::uint32_t, shard_status> statuses_;
  std::map<std::uint32_t, known_tenure> tenures_;
  std::uint32_t shard_count_ = 0;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_REPLICA_H_
