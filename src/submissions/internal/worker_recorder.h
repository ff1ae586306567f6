#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_RECORDER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_RECORDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chivecrank/submissions/progress.h"
#include "chivecrank/submissions/scheduler_settings.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Decides what the journal says about the workers that runs depend on: their
/// addresses, so that the next owner reaches them whether discovery lists them
/// or not, and how long runs on silent workers can still live, so that the next
/// owner does not wait for them anew.
class worker_recorder {
 public:
  worker_recorder(const scheduler_settings& settings, worker_table& workers)
      : settings_(settings), workers_(workers) {}

  /// Applies a record of the journal; later records replace earlier ones.
  void Restore(const worker_record& record);
  /// Gives the restored workers with runs what the journal says about them.
  /// This owner acquired the shard at `acquired_at`; without a recorded bound,
  /// runs may live until `longest_lease` later.
  void FinishRestore(base::time_point acquired_at,
                     std::chrono::milliseconds longest_lease,
                     base::time_point now);

  /// Determines which records the next batch needs.
  void Update(base::time_point now);
  bool HasDue() const;
  /// Returns the records for a batch.
  std::vector<worker_record> TakeDue(std::uint64_t batch);
  void OnCommitted(std::uint64_t batch);
  /// Returns the records of all workers, for a snapshot.
  std::vector<worker_record> All() const;

  /// Whether the worker's lease may be renewed. A bound that is recorded holds
  /// until a later record that releases it is committed.
  static bool MayRenewLease(const worker_entry& worker);
  /// Whether a run may start on the worker: it may get a lease, and the journal
  /// has the address that the start command goes to.
  static bool MayStart(const worker_entry& worker);

 private:
  static void RestoreWorker(worker_entry& worker,
                            const worker_record& record,
                            base::time_point acquired_at,
                            base::time_point now);
  void UpdateWorker(worker_entry& worker, base::time_point now) const;
  bool IsBoundDue(const worker_entry& worker, base::time_point now) const;
  static worker_record RecordOf(const std::string& id,
                                const worker_entry& worker);

  const scheduler_settings& settings_;
  worker_table& workers_;
  std::map<std::string, worker_record> restored_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_RECORDER_H_
