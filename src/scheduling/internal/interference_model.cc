#include "chivecrank/scheduling/interference_model.h"

#include <algorithm>
#include <cmath>

namespace chivecrank::scheduling {
namespace {

/// Key of the service's own baseline in place of a batch template.
constexpr char kBaseline[] = "";

}  // namespace

interference_model::interference_model(interference_settings settings)
    : settings_(settings) {}

void interference_model::Observe(const std::string& service_template,
                                 const std::vector<exposure>& exposures,
                                 double inflation,
                                 base::wall_time at) {
  learned_estimates& known = services_[service_template];
  std::vector<exposure> inputs = exposures;
  inputs.push_back({kBaseline, 1});
  double predicted = 1;
  double variance = std::pow(settings_.sample_noise * inflation, 2);
  for (const exposure& input : inputs) {
    const auto [found, added] = known.try_emplace(
        input.batch_template, Prior(input.batch_template, at));
    DecayToPrior(input.batch_template, found->second, at);
    const pairing_estimate& estimate = found->second.estimate;
    predicted += input.amount * estimate.mean;
    variance += input.amount * input.amount * estimate.variance;
  }
  const double residual = inflation - predicted;
  for (const exposure& input : inputs) {
    pairing_estimate& estimate = known[input.batch_template].estimate;
    const double gain = estimate.variance * input.amount / variance;
    estimate.mean += gain * residual;
    estimate.variance *= 1 - gain * input.amount;
  }
}

pairing_estimate interference_model::EstimateFor(
    const std::string& service_template,
    const std::string& batch_template,
    base::wall_time now) const {
  const auto service = services_.find(service_template);
  if (service == services_.end())
    return Prior(batch_template, now).estimate;
  const auto pairing = service->second.find(batch_template);
  if (pairing == service->second.end())
    return Prior(batch_template, now).estimate;
  learned_estimate current = pairing->second;
  DecayToPrior(batch_template, current, now);
  // Batch work on the same worker never speeds up a service.
  current.estimate.mean = std::max(0.0, current.estimate.mean);
  return current.estimate;
}

interference_model::learned_estimate interference_model::Prior(
    const std::string& batch_template,
    base::wall_time now) const {
  if (batch_template == kBaseline)
    return {{0, settings_.baseline_variance}, now};
  return {{settings_.prior_mean, settings_.prior_variance}, now};
}

void interference_model::DecayToPrior(const std::string& batch_template,
                                      learned_estimate& decayed,
                                      base::wall_time now) const {
  if (now <= decayed.updated)
    return;
  const std::chrono::duration<double> age = now - decayed.updated;
  const std::chrono::duration<double> half_life = settings_.half_life;
  const double kept = std::exp2(-age / half_life);
  const pairing_estimate prior = Prior(batch_template, now).estimate;
  pairing_estimate& estimate = decayed.estimate;
  estimate.mean = prior.mean + kept * (estimate.mean - prior.mean);
  estimate.variance =
      prior.variance + kept * (estimate.variance - prior.variance);
  decayed.updated = now;
}

}  // namespace chivecrank::scheduling
