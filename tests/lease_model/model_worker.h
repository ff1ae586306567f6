#ifndef CHIVECRANK_TESTS_LEASE_MODEL_MODEL_WORKER_H_
#define CHIVECRANK_TESTS_LEASE_MODEL_MODEL_WORKER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "chivecrank/submissions/types.h"

namespace chivecrank::lease_model {

/// A poll or start command under way. A lease is an absolute end on the
/// worker's clock.
struct message {
  std::size_t worker = 0;
  std::int64_t fence = 0;
  base::time_point lease_end;
  /// Number of the run that it starts; unset for a poll.
  std::optional<std::int32_t> run;
};

/// A worker as it is, whatever the owners know of it.
class model_worker {
 public:
  /// Follows the sender and renews the lease. Returns false if the worker
  /// follows a newer owner.
  bool Receive(const message& received);
  /// A command whose own lease is over starts nothing, unless, a planted fault,
  /// `renewed_lease_counts`.
  submissions::start_outcome Start(const message& received,
                                   base::time_point now,
                                   bool renewed_lease_counts);
  /// Returns whether the worker carried out the command.
  bool Stop(std::int64_t fence, std::int32_t run);
  void Crash();
  /// Ends the run if the lease is over.
  void ExpireLease(base::time_point now);
  void ChangeListing() { is_listed_ = !is_listed_; }

  bool HasCrashed() const { return has_crashed_; }
  bool IsListed() const { return is_listed_; }
  /// Number of the run that is alive here.
  const std::optional<std::int32_t>& Run() const { return run_; }
  submissions::worker_report Report(const submissions::task_ref& task) const;
  std::string Fingerprint(base::time_point now) const;

 private:
  bool has_crashed_ = false;
  bool is_listed_ = true;
  std::int64_t fence_ = 0;
  base::time_point lease_end_;
  std::optional<std::int32_t> run_;
  /// Runs up to this number may not start here.
  std::int32_t stopped_run_ = 0;
};

}  // namespace chivecrank::lease_model

#endif  // CHIVECRANK_TESTS_LEASE_MODEL_MODEL_WORKER_H_
