#ifndef CHIVECRANK_TESTS_LEASE_MODEL_STATE_FINGERPRINT_H_
#define CHIVECRANK_TESTS_LEASE_MODEL_STATE_FINGERPRINT_H_

#include <string>

#include "model.h"

namespace chivecrank::lease_model {

/// Describes all that the steps from a state depend on, with times relative to
/// its own. States with the same fingerprint are searched once.
std::string FingerprintOf(const model_state& state);

}  // namespace chivecrank::lease_model

#endif  // CHIVECRANK_TESTS_LEASE_MODEL_STATE_FINGERPRINT_H_
