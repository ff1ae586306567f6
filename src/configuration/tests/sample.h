#ifndef CHIVECRANK_CONFIGURATION_TESTS_SAMPLE_H_
#define CHIVECRANK_CONFIGURATION_TESTS_SAMPLE_H_

#include "chivecrank/configuration/types.h"
#include "chivecrank/security/token.h"

namespace chivecrank::configuration {

/// A small valid configuration.
inline content SampleContent() {
  content all;
  all.services.resize(1);
  all.services[0].name = "dispatch";
  all.services[0].parameters = {
      {"region", parameter_type::kString, false, "suva", 0, 0}};
  all.jobs.resize(1);
  all.jobs[0].name = "round-plan";
  all.jobs[0].demand = {2000, 4000, 0};
  all.jobs[0].parameters = {
      {"stops", parameter_type::kInteger, true, "", 1, 500}};
  all.teams = {{"rounds", {100'000, 200'000, 0}}};
  all.accounts.resize(1);
  all.accounts[0].name = "hotel-watch";
  all.accounts[0].team = "rounds";
  all.accounts[0].token_hash = security::HashToken("secret");
  all.accounts[0].parameters = {{"round-plan", "stops", "20"}};
  all.drains = {{drain_scope::kRack, "r1"}};
  return all;
}

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_TESTS_SAMPLE_H_
