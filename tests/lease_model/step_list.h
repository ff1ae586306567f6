#ifndef CHIVECRANK_TESTS_LEASE_MODEL_STEP_LIST_H_
#define CHIVECRANK_TESTS_LEASE_MODEL_STEP_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "model.h"
#include "owner_driver.h"

namespace chivecrank::lease_model {

/// Lists the steps that are possible in a state, and where they lead.
class step_list {
 public:
  explicit step_list(const model_state& from) : from_(from) {}

  std::vector<successor> Take();

 private:
  void Add(std::string step, const std::function<void(model_state&)>& change);

  void AddOwner(std::size_t owner);
  void AddPolls(std::size_t owner, const std::string& name);
  void AddPoll(std::size_t owner, const std::string& name, delivery outcome);
  void AddCommits(std::size_t owner, const std::string& name);
  /// The store applies the batch.
  void AddApply(std::size_t owner, const std::string& name, bool snapshot);
  /// The owner learns that the batch was applied. With `applies`, both happen
  /// in this step.
  void AddAnswers(std::size_t owner, const std::string& name, bool applies);
  void AddClaims();
  void AddMessages();
  void AddWorkerChanges();
  void AddTick();

  /// Whether this may happen to a message to the first worker.
  bool IsPossible(delivery outcome) const;
  /// Whether the newest owner has nothing left to do in this tick.
  bool IsNewestIdle() const;

  const model_state& from_;
  std::vector<successor> steps_;
};

}  // namespace chivecrank::lease_model

#endif  // CHIVECRANK_TESTS_LEASE_MODEL_STEP_LIST_H_
