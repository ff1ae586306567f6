#include "chivecrank/scheduling/inflation_forecast.h"

namespace chivecrank::scheduling {
namespace {

/// Load assumed for a service without measurements.
constexpr double kDefaultLoad = 0.6;
/// Weight of the newest load in the moving average of a template.
constexpr double kLoadWeight = 0.1;

}  // namespace

inflation_forecast::inflation_forecast(interference_settings settings,
                                       interference_hook known)
    : known_interference_(std::move(known)), model_(settings) {}

void inflation_forecast::Observe(const service_sample& sample,
                                 const residency_log& residency) {
  loads_[{sample.worker_id, sample.service_template}] = sample.load;
  const auto [mean, added] =
      template_loads_.try_emplace(sample.service_template, sample.load);
  mean->second += kLoadWeight * (sample.load - mean->second);
  std::vector<exposure> exposures =
      residency.MeanExposures(sample.worker_id, sample.from, sample.to);
  for (exposure& exposed : exposures)
    exposed.amount *= sample.load;
  model_.Observe(sample.service_template, exposures, sample.inflation,
                 sample.to);
}

pairing_estimate inflation_forecast::InflationPerShare(
    const std::string& worker_id,
    const std::string& service_template,
    const std::string& batch_template,
    base::wall_time now) const {
  const double load = LoadOf(worker_id, service_template);
  if (known_interference_) {
    if (const auto inflation =
            known_interference_(service_template, batch_template))
      return {*inflation * load, 0};
  }
  const pairing_estimate learned =
      model_.EstimateFor(service_template, batch_template, now);
  return {learned.mean * load, learned.variance * load * load};
}

double inflation_forecast::LoadOf(const std::string& worker_id,
                                  const std::string& service_template) const {
  const auto on_worker = loads_.find({worker_id, service_template});
  if (on_worker != loads_.end())
    return on_worker->second;
  const auto of_template = template_loads_.find(service_template);
  return of_template == template_loads_.end() ? kDefaultLoad
                                              : of_template->second;
}

}  // namespace chivecrank::scheduling
