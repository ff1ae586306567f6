#include "internal/placer.h"

#include <algorithm>
#include <optional>

#include "chivecrank/scheduling/resources.h"
#include "internal/latency_guard.h"

namespace chivecrank::submissions::internal {
namespace {

/// Weights of a score whose base is the share of idle processors (0 to 1).
constexpr double kDataRackBonus = 0.5;
constexpr double kAvoidPenalty = 4;
constexpr double kFailedHerePenalty = 2;
/// Times the services that a filling task is likely to bring over their bounds.
constexpr double kHarmPenalty = 3;
constexpr double kSameImageBonus = 1;
constexpr double kOtherImagePenalty = 0.6;

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
double ImageScore(const occupancy& worker, image_number image) {
  const auto same = std::ranges::count(worker.lasting_images, image);
  const auto others =
      static_cast<std::ptrdiff_t>(worker.lasting_images.size()) - same;
  return kSameImageBonus * static_cast<double>(same) -
         kOtherImagePenalty * static_cast<double>(others);
}

/// Whether the demand fits beside the worker's lasting runs alone.
bool FitsBesideServices(const worker_entry& worker,
                        const coordination::resources& demand) {
  coordination::resources services;
  for (const auto& [task, run] : worker.runs)
    if (run.lasting)
      services = scheduling::Plus(services, run.reserved);
  return scheduling::Fits(demand, services, worker.description.capacity);
}

bool IsAvoided(const worker_entry& worker, base::time_point now) {
  return worker.health.avoid_until > now;
}

/// Processors that filling tasks could still get, in thousandths, when a
/// service uses `service_load` of what it reserves.
std::int64_t IdleProcessors(const worker_entry& worker,
                            const occupancy& occupied,
                            double service_load) {
  const auto services = static_cast<std::int64_t>(
      static_cast<double>(occupied.lasting_milli) * service_load);
  return worker.description.capacity.processors_milli - services -
         occupied.other_milli;
}

}  // namespace

coordination::resources ReservedBy(const step_request& step) {
  coordination::resources reserved = step.demand;
  if (step.best_effort)
    reserved.processors_milli = 0;
  return reserved;
}

void placer::BeginRound(base::time_point now) {
  learned_.Advance(now);
  trials_.Recount(workers_);
  for (auto& [id, worker] : workers_.All())
    worker.held_for_service = false;
}

void placer::OnAssign(worker_entry& worker, const placement_request& request) {
  if (request.step->best_effort)
    trials_.Add(learned_.OccupancyOf(worker), request.image);
}

std::optional<double> placer::ScoreOf(worker_entry& worker,
                                      const placement_request& request) const {
  ++scored_;
  if (!HasRoom(worker, request))
    return std::nullopt;
  const auto base = request.step->best_effort
                        ? FillingScore(worker, request)
                        : std::optional(ReservedShare(worker));
  if (!base)
    return std::nullopt;
  return *base + FitnessOf(worker, request);
}

void placer::HoldRoomFor(const placement_request& request) {
  worker_entry* nearest = nullptr;
  std::int64_t most_free = 0;
  for (auto& [id, worker] : workers_.All()) {
    if (worker.held_for_service || !IsEligible(worker, request) ||
        !FitsBesideServices(worker, request.step->demand))
      continue;
    const std::int64_t free = worker.description.capacity.processors_milli -
                              worker.reserved.processors_milli;
    if (nearest != nullptr && free <= most_free)
      continue;
    nearest = &worker;
    most_free = free;
  }
  if (nearest != nullptr)
    nearest->held_for_service = true;
}

bool placer::HasRoom(const worker_entry& worker,
                     const placement_request& request) const {
  const bool held = worker.held_for_service && !request.step->long_running;
  return !held &&
         scheduling::Fits(ReservedBy(*request.step), worker.reserved,
                          worker.description.capacity) &&
         IsEligible(worker, request);
}

bool placer::IsEligible(const worker_entry& worker,
                        const placement_request& request) const {
  const worker_description& description = worker.description;
  const step_request& step = *request.step;
  if (!worker.listed || !worker.reported || description.draining ||
      worker.lacks_room || request.now >= worker.lease_over ||
      request.now - worker.reported_at > settings_.report_fresh)
    return false;
  if (description.service != *request.service || &worker == request.runs_on)
    return false;
  if (!request.rack.empty() && description.rack != request.rack)
    return false;
  if (!step.required_label.empty() &&
      !HasLabel(description, step.required_label))
    return false;
  if (request.progress->run > 0 && worker.runs.contains(request.task))
    return false;
  if (request.permits != nullptr &&
      request.permits->Find(request.task, worker, request.now) == nullptr)
    return false;
  return step.max_per_worker <= 0 ||
         RunsOfStep(worker, request.task) < step.max_per_worker;
}

std::int32_t placer::RunsOfStep(const worker_entry& worker,
                                const task_ref& task) {
  return static_cast<std::int32_t>(
      std::ranges::count_if(worker.runs, [&](const auto& entry) {
        const task_ref& other = entry.first;
        return other.submission == task.submission &&
               other.occurrence == task.occurrence && other.step == task.step;
      }));
}

std::optional<double> placer::FillingScore(
    worker_entry& worker,
    const placement_request& request) const {
  const step_request& step = *request.step;
  const occupancy& occupied = learned_.OccupancyOf(worker);
  const std::int64_t idle =
      IdleProcessors(worker, occupied, settings_.service_load);
  const double wanted =
      static_cast<double>(step.demand.processors_milli) * settings_.fill_share;
  if (static_cast<double>(idle) < wanted)
    return std::nullopt;
  if (latency_guard::IsPressed(worker))
    return std::nullopt;
  if (!trials_.Allows(occupied, request.image))
    return std::nullopt;
  const double more =
      worker_table::ShareOfProcessors(worker, step.demand.processors_milli);
  const double harm = learned_.HarmOf(occupied, request.image, more);
  if (harm > settings_.most_harm)
    return std::nullopt;
  return worker_table::ShareOfProcessors(worker, idle) - kHarmPenalty * harm;
}

double placer::FitnessOf(worker_entry& worker,
                         const placement_request& request) const {
  double fitness = 0;
  if (!request.step->data_rack.empty() &&
      worker.description.rack == request.step->data_rack)
    fitness += kDataRackBonus;
  if (IsAvoided(worker, request.now))
    fitness -= kAvoidPenalty;
  if (request.progress->failed_on == worker.description.id)
    fitness -= kFailedHerePenalty;
  if (request.step->long_running && !request.step->image.empty())
    fitness += ImageScore(learned_.OccupancyOf(worker), request.image);
  return fitness;
}

}  // namespace chivecrank::submissions::internal
