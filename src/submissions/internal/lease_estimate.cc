#include "internal/lease_estimate.h"

#include <array>
#include <cstddef>

namespace chivecrank::submissions::internal {
namespace {

constexpr std::array<std::string_view, 6> kBasisNames = {
    "earlier_owner", "witnesses", "recorded_bound",
    "own_memory",    "answer",    "own_lease"};

}  // namespace

std::string_view LeaseBasisName(lease_basis value) {
  return kBasisNames.at(static_cast<std::size_t>(value));
}

void lease_estimate::Assume(base::time_point expiry, lease_basis basis) {
  expiry_ = expiry;
  basis_ = basis;
}

void lease_estimate::Extend(base::time_point expiry, lease_basis basis) {
  if (expiry > expiry_)
    Assume(expiry, basis);
}

void lease_estimate::Restrict(base::time_point expiry, lease_basis basis) {
  if (expiry < expiry_)
    Assume(expiry, basis);
}

}  // namespace chivecrank::submissions::internal
