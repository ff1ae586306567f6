#include "internal/placer.h"

#include <algorithm>
#include <optional>
#include <set>

#include "chivecrank/scheduling/resources.h"
#include "internal/latency_guard.h"

namespace chivecrank::submissions::internal {
namespace {

/// Weights of a score whose base is the share of idle processors (0 to 1).
constexpr double kDataRackBonus = 0.5;
constexpr double kAvoidPenalty = 4;
constexpr double kFailedHerePenalty = 2;
/// Times the pressure that a filling task adds to a service.
constexpr double kPressurePenalty = 3;
constexpr double kSameImageBonus = 1;
constexpr double kOtherImagePenalty = 0.6;

/// Added pressure below this is taken for none.
constexpr double kNoPressure = 0.02;

bool HasLabel(const worker_description& worker, const std::string& label) {
  return std::ranges::find(worker.labels, label) != worker.labels.end();
}

/// Tasks that reserve processors are packed, so that some workers stay free of
/// services: filling tasks disturb nothing there.
double ReservedShare(const worker_entry& worker) {
  return worker_table::ShareOfProcessors(worker,
                                         worker.reserved.processors_milli);
}

/// Services of one image stay together, so that each filling image finds
/// workers with no service that it disturbs.
double ImageScore(const worker_entry& worker, const std::string& image) {
  bool same = false;
  std::set<std::string> others;
  for (const auto& [task, run] : worker.runs) {
    if (!run.lasting)
      continue;
    if (run.image == image)
      same = true;
    else
      others.insert(run.image);
  }
  return (same ? kSameImageBonus : 0) -
         kOtherImagePenalty * static_cast<double>(others.size());
}

bool IsAvoided(const worker_entry& worker, base::time_point now) {
  return worker.health.avoid_until > now;
}

std::int32_t RunsOfStep(const worker_entry& worker, const task_ref& task) {
  return static_cast<std::int32_t>(
      std::ranges::count_if(worker.runs, [&](const auto& entry) {
        const task_ref& other = entry.first;
        return other.submission == task.submission &&
               other.occurrence == task.occurrence && other.step == task.step;
      }));
}

}  // namespace

coordination::resources ReservedBy(const step_request& step) {
  coordination::resources reserved = step.demand;
  if (step.fills)
    reserved.processors_milli = 0;
  return reserved;
}

worker_entry* placer::Choose(const placement_request& request) const {
  worker_entry* best = nullptr;
  double best_score = 0;
  for (auto& [id, worker] : workers_.All()) {
    if (!HasRoom(worker, request))
      continue;
    const auto base = request.step->fills
                          ? FillingScore(worker, request)
                          : std::optional(ReservedShare(worker));
    if (!base)
      continue;
    const double score = *base + FitnessOf(worker, request);
    if (best == nullptr || score > best_score) {
      best = &worker;
      best_score = score;
    }
  }
  return best;
}

bool placer::HasRoom(const worker_entry& worker,
                     const placement_request& request) const {
  const worker_description& description = worker.description;
  const step_request& step = *request.step;
  if (!worker.listed || !worker.reported || description.draining ||
      request.now >= worker.lease_over ||
      request.now - worker.reported_at > settings_.report_fresh)
    return false;
  if (description.service != *request.service)
    return false;
  if (!request.rack.empty() && description.rack != request.rack)
    return false;
  if (!step.required_label.empty() &&
      !HasLabel(description, step.required_label))
    return false;
  if (!scheduling::Fits(ReservedBy(step), worker.reserved,
                        description.capacity))
    return false;
  if (worker.runs.contains(request.task))
    return false;
  return step.most_per_worker <= 0 ||
         RunsOfStep(worker, request.task) < step.most_per_worker;
}

std::optional<double> placer::FillingScore(
    const worker_entry& worker,
    const placement_request& request) const {
  const step_request& step = *request.step;
  const std::int64_t idle =
      worker_table::IdleProcessors(worker, settings_.service_load);
  const double wanted =
      static_cast<double>(step.demand.processors_milli) * settings_.fill_share;
  if (static_cast<double>(idle) < wanted)
    return std::nullopt;
  if (latency_guard::IsPressed(worker))
    return std::nullopt;
  if (!trials_.Allows(worker, step.image, request.now))
    return std::nullopt;
  const auto forecast = learned_.Forecast(
      worker, step.image, step.demand.processors_milli, request.now);
  if (forecast.added >= kNoPressure && forecast.worst > settings_.most_pressure)
    return std::nullopt;
  return worker_table::ShareOfProcessors(worker, idle) -
         kPressurePenalty * forecast.added;
}

double placer::FitnessOf(const worker_entry& worker,
                         const placement_request& request) {
  double fitness = 0;
  if (!request.step->data_rack.empty() &&
      worker.description.rack == request.step->data_rack)
    fitness += kDataRackBonus;
  if (IsAvoided(worker, request.now))
    fitness -= kAvoidPenalty;
  if (request.progress->failed_on == worker.description.id)
    fitness -= kFailedHerePenalty;
  if (request.step->lasting && !request.step->image.empty())
    fitness += ImageScore(worker, request.step->image);
  return fitness;
}

}  // namespace chivecrank::submissions::internal
