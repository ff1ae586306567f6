#ifndef CHIVECRANK_CALLERS_TESTS_FAKE_GATE_H_
#define CHIVECRANK_CALLERS_TESTS_FAKE_GATE_H_

#include <vector>

#include "chivecrank/idempotency/request_gate.h"

namespace chivecrank::callers {

/// Returns the decision set by the test and records all calls.
class fake_gate final : public idempotency::request_gate {
 public:
  idempotency::decision Admit(idempotency::arrival& request,
                              base::time_point /*deadline*/) override {
    request.token = "t";
    admitted.push_back(request);
    return decided;
  }
  void Finish(const idempotency::log_entry& ended) override {
    ends.push_back(ended);
  }
  base::result<idempotency::key_report> Describe(
      const std::string& /*request_id*/,
      base::time_point /*deadline*/) override {
    return idempotency::key_report{idempotency::key_state::kInFlight, {}};
  }

  idempotency::decision decided{idempotency::verdict::kRun, {}};
  std::vector<idempotency::arrival> admitted;
  std::vector<idempotency::log_entry> ends;
};

}  // namespace chivecrank::callers

#endif  // CHIVECRANK_CALLERS_TESTS_FAKE_GATE_H_
