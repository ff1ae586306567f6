#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_RECORDER_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_RECORDER_H_

#include <map>
#include <string>
#include <vector>

#include "chivecrank/submissions/progress.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// Decides what the journal says about the workers that runs depend on, so that
/// the next owner can reach them whether discovery lists them or not.
class worker_recorder {
 public:
  explicit worker_recorder(worker_table& workers) : workers_(workers) {}

  /// Applies a record of the journal; later records replace earlier ones.
  void Restore(const worker_record& record);
  /// Gives the restored workers with runs what the journal says about them.
  void FinishRestore();

  /// Whether the next batch needs a record.
  bool HasDue() const;
  /// Returns the records that the next batch needs.
  std::vector<worker_record> TakeDue();
  /// Returns the records of all workers, for a snapshot.
  std::vector<worker_record> All() const;

 private:
  static bool IsDue(const worker_entry& worker);

  worker_table& workers_;
  std::map<std::string, worker_record> restored_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_WORKER_RECORDER_H_
