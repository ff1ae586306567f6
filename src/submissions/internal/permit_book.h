#ifndef CHIVECRANK_SUBMISSIONS_INTERNAL_PERMIT_BOOK_H_
#define CHIVECRANK_SUBMISSIONS_INTERNAL_PERMIT_BOOK_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/submissions/commands.h"
#include "internal/worker_table.h"

namespace chivecrank::submissions::internal {

/// What is known of the permits of steps whose queue asks for them.
class permit_book {
 public:
  /// The permit with which a task may start on the worker now; null without.
  const std::string* Find(const task_ref& task,
                          const worker_entry& worker,
                          base::time_point now) const;

  /// Whether it makes sense to ask for the worker: nothing valid is known of
  /// it, it wasn't turned down, and no question is under way.
  bool MayAsk(const task_ref& task,
              const worker_entry& worker,
              base::time_point now) const;
  /// A question is sent. Steps wait for its answer before they ask again.
  void OnAsked(const permit_request& request,
               const worker_table& workers,
               base::time_point now);
  bool IsAsking(const task_ref& task, base::time_point now) const;

  void OnGranted(const permit_request& request,
                 const std::vector<start_permit>& granted);
  /// The question was not answered; it may be asked again after a pause.
  void OnUnanswered(const permit_request& request, base::time_point now);
  /// A worker turned the permit down.
  void Forget(const task_ref& task, const std::string& worker);
  /// The submission is over.
  void Erase(const std::string& submission);

 private:
  enum class standing { kAsked, kGranted, kRefused };
  struct known_permit {
    standing state = standing::kAsked;
    std::string permit;
    /// The life of the worker that it is for, and until when it holds.
    std::int64_t born_ms = 0;
    base::time_point valid_until;
  };
  struct step_permits {
    absl::flat_hash_map<std::string, known_permit> workers;
    /// No question before this; an answer makes it now.
    base::time_point ask_again;
  };

  const known_permit* FindKnown(const task_ref& task,
                                const std::string& worker) const;

  absl::flat_hash_map<task_ref, step_permits> steps_;
};

}  // namespace chivecrank::submissions::internal

#endif  // CHIVECRANK_SUBMISSIONS_INTERNAL_PERMIT_BOOK_H_
