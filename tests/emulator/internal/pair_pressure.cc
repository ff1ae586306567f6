#include "chivecrank/emulator/pair_pressure.h"

#include <functional>

namespace chivecrank::emulator {
namespace {

/// Both draws are in steps of a hundredth.
constexpr std::size_t kSteps = 100;

}  // namespace

double pair_pressure::operator()(const std::string& service_image,
                                 const std::string& fill_image) const {
  const std::size_t dice =
      std::hash<std::string>{}(service_image + "/" + fill_image);
  const double kind = static_cast<double>(dice % kSteps) / kSteps;
  const double strength = static_cast<double>(dice / kSteps % kSteps) / kSteps;
  if (kind < hard_share)
    return hard_least + strength * (hard_most - hard_least);
  return strength * gentle_most;
}

}  // namespace chivecrank::emulator
