#ifndef CHIVECRANK_REVIEW_STANDINS_3_CASES_H_
#define CHIVECRANK_REVIEW_STANDINS_3_CASES_H_

#include <string>

#include "deployment.h"

namespace review {

struct case_input {
  deployment& system;
  std::string record_file;
  /// Whether the disruption takes place.
  bool trouble = true;
};

/// Each returns 1 if the rule was broken, 0 if it held and 2 if the case
/// couldn't run.
int CancelWhileInDoubt(const case_input& input);
int GangAfterCrash(const case_input& input);
int GangCheckpoints(const case_input& input);
int GangMemberFails(const case_input& input);

}  // namespace review

#endif  // CHIVECRANK_REVIEW_STANDINS_3_CASES_H_
