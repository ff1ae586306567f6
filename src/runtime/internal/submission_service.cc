#include "chivecrank/runtime/submission_service.h"

#include <array>

namespace chivecrank::runtime {
namespace {

constexpr std::array<std::string_view, 4> kCancelOutcomeNames = {
    "cancelled", "unknown", "unavailable", "in_doubt"};

}  // namespace

std::string_view CancelOutcomeName(cancel_outcome outcome) {
  return kCancelOutcomeNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace chivecrank::runtime
