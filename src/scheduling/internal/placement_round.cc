#include "internal/placement_round.h"

#include <algorithm>
#include <cmath>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::scheduling {
namespace {

/// Placement costs, in units of the squared inflation above 1.
constexpr double kPackingWeight = 0.02;
constexpr double kAcceleratorPenalty = 0.5;
constexpr double kRepeatedCrashPenalty = 4.0;
/// Variance relative to the squared mean, from which a pairing counts as
/// unmeasured.
constexpr double kUnmeasuredVariance = 0.1;
/// Costs of placing a replica in the same place as another one of its service.
constexpr double kSameWorkerPenalty = 100.0;
constexpr double kSameRackPenalty = 10.0;
constexpr double kSameDomainPenalty = 1.0;

double InterferenceCost(double inflation) {
  return std::pow(std::max(0.0, inflation - 1), 2);
}

bool HasCrashedOn(const task& placed, const std::string& worker_id) {
  return std::find(placed.failed_worker_ids.begin(),
                   placed.failed_worker_ids.end(),
                   worker_id) != placed.failed_worker_ids.end();
}

}  // namespace

pairing_estimate PredictAddedInflation(const planning_context& context,
                                       const std::string& worker_id,
                                       const std::string& service_template,
                                       const std::string& batch_template,
                                       double share) {
  const pairing_estimate slope = context.forecast.InflationPerShare(
      worker_id, service_template, batch_template, context.now);
  return {slope.mean * share, slope.variance * share * share};
}

std::vector<service_prediction> PredictServices(const planning_context& context,
                                                const std::string& worker_id) {
  std::vector<service_prediction> services;
  const auto& open = context.attempts.AttemptsOn(worker_id);
  for (const auto& [id, replica] : open) {
    if (replica.request.kind != task_kind::kService)
      continue;
    service_prediction prediction{replica.request.template_name};
    for (const auto& [batch_id, batch] : open) {
      if (batch.request.kind != task_kind::kBatch)
        continue;
      const double share =
          context.attempts.ShareOf(worker_id, batch.granted, batch.throttled);
      const pairing_estimate added =
          PredictAddedInflation(context, worker_id, prediction.service_template,
                                batch.request.template_name, share);
      prediction.inflation += added.mean;
      prediction.deviation += std::sqrt(added.variance);
    }
    services.push_back(prediction);
  }
  return services;
}

placement_round::placement_round(const planning_context& context,
                                 const std::vector<worker_view>& workers)
    : context_(context) {
  workers_.reserve(workers.size());
  for (const worker_view& worker : workers) {
    workers_.push_back({&worker, context.state.CommittedOn(worker.id),
                        !context.health.IsQuarantined(worker.id, context.now),
                        context.health.IsOnProbation(worker.id, context.now)});
  }
}

void placement_round::Reserve(const std::string& worker_id,
                              const std::string& task_id,
                              const coordination::resources& size) {
  for (round_worker& known : workers_) {
    if (known.view->id == worker_id)
      known.reservations.push_back({task_id, size});
  }
}

std::optional<std::size_t> placement_round::Choose(
    const placement_request& request) {
  if (context_.hooks.choose_worker &&
      request.placed->request.kind == task_kind::kBatch) {
    return ChooseByHook(request);
  }
  std::optional<std::size_t> best;
  double lowest = 0;
  for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
    if (!IsFeasible(request, worker))
      continue;
    const auto cost = Cost(request, worker);
    if (!cost || (best && *cost >= lowest))
      continue;
    best = worker;
    lowest = *cost;
  }
  return best;
}

bool placement_round::HasRoom(const placement_request& request) const {
  for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
    if (IsFeasible(request, worker))
      return true;
  }
  return false;
}

void placement_round::Commit(const placement_request& request,
                             std::size_t worker) {
  round_worker& target = workers_[worker];
  const task_request& started = request.placed->request;
  target.committed = Plus(target.committed, request.granted);
  std::erase_if(target.reservations, [&](const reservation& known) {
    return known.task_id == started.id;
  });
  if (started.kind == task_kind::kService) {
    CountReplica(Replicas(started.template_name), *target.view);
    Services(target).push_back({started.template_name});
    return;
  }
  if (target.on_probation)
    target.usable = false;
  const double share =
      context_.attempts.ShareOf(target.view->id, request.granted, false);
  for (service_prediction& service : Services(target)) {
    const pairing_estimate added = PredictAddedInflation(
        context_, target.view->id, service.service_template,
        started.template_name, share);
    service.inflation += added.mean;
    service.deviation += std::sqrt(added.variance);
    pairing_runs_[{service.service_template, started.template_name}] = true;
  }
}

bool placement_round::IsFeasible(const placement_request& request,
                                 std::size_t worker) const {
  const round_worker& target = workers_[worker];
  if (!target.usable)
    return false;
  const task_request& wanted = request.placed->request;
  if (target.on_probation &&
      (wanted.kind == task_kind::kService || wanted.urgent ||
       !context_.attempts.AttemptsOn(target.view->id).empty())) {
    return false;
  }
  const coordination::resources taken =
      Plus(target.committed, ReservedForOthers(worker, wanted.id));
  return Fits(request.granted, taken, target.view->capacity);
}

coordination::resources placement_round::ReservedForOthers(
    std::size_t worker,
    const std::string& task_id) const {
  coordination::resources reserved;
  for (const reservation& known : workers_[worker].reservations) {
    if (known.task_id != task_id)
      reserved = Plus(reserved, known.size);
  }
  return reserved;
}

std::optional<std::size_t> placement_round::ChooseByHook(
    const placement_request& request) {
  std::vector<placement_candidate> feasible;
  std::vector<std::size_t> indices;
  for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
    if (!IsFeasible(request, worker))
      continue;
    feasible.push_back({workers_[worker].view, workers_[worker].committed});
    indices.push_back(worker);
  }
  if (feasible.empty())
    return std::nullopt;
  return indices[context_.hooks.choose_worker(feasible)];
}

std::optional<double> placement_round::Cost(const placement_request& request,
                                            std::size_t worker) {
  round_worker& target = workers_[worker];
  if (request.placed->request.kind == task_kind::kService)
    return ServiceCost(request, target);
  const auto interference = BatchCost(request, target);
  if (!interference)
    return std::nullopt;
  double cost = *interference + PackingCost(request, target);
  if (HasCrashedOn(*request.placed, target.view->id))
    cost += kRepeatedCrashPenalty;
  return cost;
}

std::optional<double> placement_round::BatchCost(
    const placement_request& request,
    round_worker& target) {
  const double share =
      context_.attempts.ShareOf(target.view->id, request.granted, false);
  const std::string& batch = request.placed->request.template_name;
  double interference = 0;
  for (const service_prediction& service : Services(target)) {
    const pairing_estimate added = PredictAddedInflation(
        context_, target.view->id, service.service_template, batch, share);
    const double placement_deviations = context_.settings.placement_deviations;
    const double before =
        service.inflation + placement_deviations * service.deviation;
    const double after =
        before + added.mean + placement_deviations * std::sqrt(added.variance);
    if (after > request.inflation_limit &&
        !MayTryUnmeasuredPairing(service.service_template, batch, added)) {
      return std::nullopt;
    }
    interference += InterferenceCost(after) - InterferenceCost(before);
  }
  return interference;
}

double placement_round::ServiceCost(const placement_request& request,
                                    round_worker& target) {
  const std::string& name = request.placed->request.template_name;
  double cost = PackingCost(request, target);
  const replica_counts& replicas = Replicas(name);
  const auto count = [&](const std::string& place) {
    const auto found = replicas.find(place);
    return found == replicas.end() ? 0 : found->second;
  };
  cost += kSameWorkerPenalty * count(target.view->id);
  cost += kSameRackPenalty * count(target.view->rack);
  cost += kSameDomainPenalty * count(target.view->failure_domain);
  double inflation = 1;
  for (const auto& [id, open] : context_.attempts.AttemptsOn(target.view->id)) {
    if (open.request.kind != task_kind::kBatch)
      continue;
    const double share = context_.attempts.ShareOf(
        target.view->id, open.granted, open.throttled);
    inflation += PredictAddedInflation(context_, target.view->id, name,
                                       open.request.template_name, share)
                     .mean;
  }
  return cost + InterferenceCost(inflation);
}

double placement_round::PackingCost(const placement_request& request,
                                    const round_worker& target) const {
  const coordination::resources& capacity = target.view->capacity;
  const double used =
      DominantShare(Plus(target.committed, request.granted), capacity);
  double cost = kPackingWeight * (1 - used);
  if (capacity.accelerators > 0 && request.granted.accelerators == 0)
    cost += kAcceleratorPenalty;
  return cost;
}

bool placement_round::MayTryUnmeasuredPairing(
    const std::string& service_template,
    const std::string& batch_template,
    const pairing_estimate& slope) {
  if (slope.variance < kUnmeasuredVariance * slope.mean * slope.mean)
    return false;
  const auto [paired, added] =
      pairing_runs_.try_emplace({service_template, batch_template}, false);
  if (!added)
    return !paired->second;
  for (const round_worker& target : workers_) {
    bool has_service = false;
    bool has_batch = false;
    for (const auto& [id, open] :
         context_.attempts.AttemptsOn(target.view->id)) {
      has_service |= open.request.template_name == service_template;
      has_batch |= open.request.template_name == batch_template;
    }
    paired->second |= has_service && has_batch;
  }
  return !paired->second;
}

placement_round::replica_counts& placement_round::Replicas(
    const std::string& service_template) {
  const auto [counts, added] = replicas_.try_emplace(service_template);
  if (!added)
    return counts->second;
  for (const round_worker& target : workers_) {
    for (const auto& [id, open] :
         context_.attempts.AttemptsOn(target.view->id)) {
      if (open.request.kind == task_kind::kService &&
          open.request.template_name == service_template) {
        CountReplica(counts->second, *target.view);
      }
    }
  }
  return counts->second;
}

void placement_round::CountReplica(replica_counts& counts,
                                   const worker_view& target) {
  ++counts[target.id];
  ++counts[target.rack];
  ++counts[target.failure_domain];
}

std::vector<service_prediction>& placement_round::Services(
    round_worker& target) {
  if (!target.services)
    target.services = PredictServices(context_, target.view->id);
  return *target.services;
}

}  // namespace chivecrank::scheduling
