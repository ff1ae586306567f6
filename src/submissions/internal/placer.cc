#include "internal/placer.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "chivecrank/scheduling/resources.h"
#include "internal/latency_guard.h"

namespace chivecrank::submissions::internal {
namespace {

/// Weights of a score. The base of the score is a share of the worker's
/// processors (0 to 1).
constexpr double kDataRackBonus = 0.5;
constexpr double kAvoidPenalty = 4;
constexpr double kFailedHerePenalty = 2;
constexpr double kFailedInDomainPenalty = 0.5;
/// Multiplies the expected number of services that a best-effort task brings
/// over their latency targets.
constexpr double kAddedRiskPenalty = 3;
/// Weights for a task that may crash its worker.
constexpr double kTrialLossPenalty = 2;
constexpr double kTrialServicePenalty = 0.2;
constexpr double kTrialSharedPenalty = 4;
constexpr double kSameImageBonus = 1;
constexpr double kOtherImagePenalty = 0.6;

bool HasLabel(const worker_description& worker, const std::string& label) {
  return std::ranges::find(worker.labels, label) != worker.labels.end();
}

/// Returns the share of the worker's processors that is reserved (0 to 1). As a
/// score, it packs tasks that reserve processors onto few workers, so that some
/// workers have no services for best-effort tasks to interfere with.
double ReservedShare(const worker_entry& worker) {
  return worker_table::ShareOfProcessors(worker,
                                         worker.reserved.processors_milli);
}

/// Returns a bonus if long-running tasks on the worker run `image`, less a
/// penalty for each other image that they run. This groups services of one
/// image, so that each best-effort image finds workers without services that it
/// interferes with.
double ImageScore(const occupancy& worker, image_number image) {
  const auto same = std::ranges::count(worker.long_running_images, image);
  const auto others =
      static_cast<std::ptrdiff_t>(worker.long_running_images.size()) - same;
  return kSameImageBonus * static_cast<double>(same) -
         kOtherImagePenalty * static_cast<double>(others);
}

bool IsAvoided(const worker_entry& worker, base::time_point now) {
  return worker.health.avoid_until > now;
}

/// Millicores that best-effort tasks could still use if a service uses
/// `service_utilization` of its reservation.
std::int64_t IdleProcessors(const worker_entry& worker,
                            const occupancy& occupied,
                            double service_utilization) {
  const auto services = static_cast<std::int64_t>(
      static_cast<double>(occupied.long_running_milli) * service_utilization);
  return worker.description.capacity.processors_milli - services -
         occupied.other_milli;
}

}  // namespace

placement_request WithoutHistory(const placement_request& request) {
  static const task_progress never_ran;
  placement_request general = request;
  general.progress = &never_ran;
  return general;
}

coordination::resources ReservedBy(const step_request& step) {
  coordination::resources reserved = step.demand;
  if (step.best_effort)
    reserved.processors_milli = 0;
  return reserved;
}

void placer::BeginRound(base::time_point now) {
  interference_.Advance(now);
  trials_.Recount(workers_);
  health_.BeginRound(now);
  for (auto& [id, worker] : workers_.All())
    worker.reserved_for_service = false;
}

void placer::OnAssign(worker_entry& worker, const placement_request& request) {
  worker_health::OnAssign(worker, request.task);
  if (request.step->best_effort)
    trials_.Add(interference_.OccupancyOf(worker), request.image);
}

std::optional<double> placer::ScoreOf(worker_entry& worker,
                                      const placement_request& request) const {
  ++scored_;
  if (!HasCapacity(worker, request))
    return std::nullopt;
  const auto base = request.step->best_effort
                        ? BestEffortScore(worker, request)
                        : std::optional(ReservedShare(worker));
  if (!base)
    return std::nullopt;
  const double score = *base + FitnessOf(worker, request);
  return request.on_trial ? score + TrialScore(worker) : score;
}

double placer::TrialScore(const worker_entry& worker) {
  double score = -kTrialLossPenalty * ReservedShare(worker);
  for (const auto& [task, run] : worker.runs) {
    if (run.long_running)
      score -= kTrialServicePenalty;
    // If the worker crashes, one of these could be the cause as well.
    if (!run.survived_start)
      score -= kTrialSharedPenalty;
  }
  return score;
}

void placer::ReserveWorkerFor(const placement_request& request) {
  worker_entry* best = nullptr;
  std::int64_t max_free = 0;
  for (auto& [id, worker] : workers_.All()) {
    const std::int64_t free = worker.description.capacity.processors_milli -
                              worker.reserved.processors_milli;
    if (best != nullptr && free <= max_free)
      continue;
    if (worker.reserved_for_service || !IsEligible(worker, request) ||
        !FitsBesideServices(worker, request.step->demand))
      continue;
    best = &worker;
    max_free = free;
  }
  if (best != nullptr)
    best->reserved_for_service = true;
}

bool placer::FitsBesideServices(worker_entry& worker,
                                const coordination::resources& demand) const {
  return scheduling::Fits(
      demand, interference_.OccupancyOf(worker).long_running_reserved,
      worker.description.capacity);
}

bool placer::HasCapacity(const worker_entry& worker,
                         const placement_request& request) const {
  return HasRoom(worker, request) && IsEligible(worker, request);
}

bool placer::HasRoom(const worker_entry& worker,
                     const placement_request& request) {
  const bool is_reserved =
      worker.reserved_for_service && !request.step->long_running;
  return !is_reserved &&
         scheduling::Fits(ReservedBy(*request.step), worker.reserved,
                          worker.description.capacity);
}

std::int64_t placer::CountLeftOut(const placement_request& request) const {
  return std::ranges::count_if(
      std::as_const(workers_).All(), [&](const auto& entry) {
        const worker_entry& worker = entry.second;
        return HasRoom(worker, request) && IsSuitable(worker, request) &&
               !IsTrusted(worker, request);
      });
}

bool placer::IsEligible(const worker_entry& worker,
                        const placement_request& request) const {
  return IsSuitable(worker, request) && IsTrusted(worker, request);
}

bool placer::IsSuitable(const worker_entry& worker,
                        const placement_request& request) const {
  const worker_description& description = worker.description;
  const step_request& step = *request.step;
  if (!worker.IsOpen() || !worker.Answers() || worker.lacks_capacity ||
      request.now >= worker.lease.Expiry() ||
      worker.recorded.lease == lease_record::kBounded ||
      request.now - worker.reported_at > settings_.max_report_age)
    return false;
  if (worker.trials > 0)
    return false;
  if (description.service != *request.service ||
      &worker == request.current_worker)
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

bool placer::IsTrusted(const worker_entry& worker,
                       const placement_request& request) const {
  const step_request& step = *request.step;
  const bool stays = request.current_worker == nullptr && !request.on_trial;
  const bool ends_alone = !step.long_running && !step.gang;
  const start_candidate candidate{
      .failures = request.IsRetry() ? request.progress->failures : 0,
      .can_test_worker = stays && ends_alone && !request.last_attempt,
      .is_bound = !step.required_label.empty() || request.permits != nullptr,
      .has_waited = request.has_waited,
      .has_spare_attempts = step.long_running};
  return health_.Allows(worker, candidate, request.now);
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

std::optional<double> placer::BestEffortScore(
    worker_entry& worker,
    const placement_request& request) const {
  const step_request& step = *request.step;
  const occupancy& occupied = interference_.OccupancyOf(worker);
  const std::int64_t idle =
      IdleProcessors(worker, occupied, settings_.assumed_service_utilization);
  const double wanted = static_cast<double>(step.demand.processors_milli) *
                        settings_.min_idle_share;
  if (static_cast<double>(idle) < wanted)
    return std::nullopt;
  if (latency_guard::IsOverTarget(worker))
    return std::nullopt;
  if (!trials_.Allows(occupied, request.image))
    return std::nullopt;
  const double added_share =
      worker_table::ShareOfProcessors(worker, step.demand.processors_milli);
  const double added_risk =
      interference_.AddedRisk(occupied, request.image, added_share);
  if (added_risk > settings_.max_added_risk)
    return std::nullopt;
  return worker_table::ShareOfProcessors(worker, idle) -
         kAddedRiskPenalty * added_risk;
}

bool placer::FailedInDomainOf(const worker_entry& worker,
                              const placement_request& request) const {
  if (request.progress->last_failed_worker.empty())
    return false;
  const worker_entry* failed =
      workers_.Find(request.progress->last_failed_worker);
  return failed != nullptr && failed->description.failure_domain ==
                                  worker.description.failure_domain;
}

double placer::FitnessOf(worker_entry& worker,
                         const placement_request& request) const {
  double fitness = 0;
  if (!request.step->data_rack.empty() &&
      worker.description.rack == request.step->data_rack)
    fitness += kDataRackBonus;
  if (IsAvoided(worker, request.now))
    fitness -= kAvoidPenalty;
  if (request.progress->last_failed_worker == worker.description.id)
    fitness -= kFailedHerePenalty;
  else if (FailedInDomainOf(worker, request))
    fitness -= kFailedInDomainPenalty;
  if (request.step->long_running && !request.step->image.empty())
    fitness += ImageScore(interference_.OccupancyOf(worker), request.image);
  return fitness;
}

}  // namespace chivecrank::submissions::internal
