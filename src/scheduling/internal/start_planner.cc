#include "internal/start_planner.h"

#include <algorithm>
#include <limits>

#include "chivecrank/scheduling/resources.h"
#include "internal/preemption.h"

namespace chivecrank::scheduling {
namespace {

/// Failed placements in one round after which an urgent or service queue is
/// skipped.
constexpr int kMaxFailedPlacements = 8;
/// How long capacity that was freed by preemption is reserved for the task.
constexpr std::chrono::seconds kPreemptionReservation{8};
/// How long capacity is reserved for batch work that fits nowhere.
constexpr std::chrono::minutes kBatchReservation{10};
/// Safety factor on the estimated time to finish a queue.
constexpr double kRiskFactor = 1.15;
/// Share of all processors that work with a due time is assumed to get.
constexpr double kDueWorkProcessorShare = 0.8;

bool HasDueTime(const queue_key& key, const std::set<queue_entry>& entries) {
  return key.priority == priority_class::kBatch &&
         entries.begin()->due != base::wall_time::max();
}

coordination::resources FindOrNone(
    const std::map<std::string, coordination::resources>& in,
    const std::string& key) {
  const auto found = in.find(key);
  return found == in.end() ? coordination::resources{} : found->second;
}

}  // namespace

start_planner::start_planner(const planning_context& context,
                             const waiting_queues& queues,
                             const size_learner& sizes,
                             const cluster_capacity& fleet,
                             placement_round& round,
                             worker_reservations& reservations)
    : context_(context),
      queues_(queues),
      sizes_(sizes),
      cluster_(fleet),
      round_(round),
      reservations_(reservations) {}

std::vector<event> start_planner::Plan() {
  OpenQueues();
  while (queue_cursor* queue = NextQueue())
    ServeHead(*queue);
  return std::move(planned_);
}

void start_planner::OpenQueues() {
  const double due_work_s = SecondsForDueWork();
  for (const auto& [key, entries] : queues_.queues()) {
    cursors_.push_back({&key, entries.begin(), entries.end(),
                        IsAtRisk(key, entries, due_work_s)});
  }
}

start_planner::queue_cursor* start_planner::NextQueue() {
  queue_cursor* best = nullptr;
  std::optional<rank> lowest;
  for (queue_cursor& queue : cursors_) {
    if (queue.next == queue.end)
      continue;
    rank of_queue = RankOf(queue);
    if (lowest && !(of_queue < *lowest))
      continue;
    lowest = std::move(of_queue);
    best = &queue;
  }
  return best;
}

start_planner::rank start_planner::RankOf(const queue_cursor& queue) const {
  const queue_key& key = *queue.key;
  const queue_entry& head = *queue.next;
  if (key.priority != priority_class::kBatch)
    return {key.priority, false, 0, 0, head.due, head.queued_at, head.task_id};
  std::optional<coordination::resources> quota;
  if (context_.hooks.quota_of)
    quota = context_.hooks.quota_of(key.team);
  const double weight =
      context_.hooks.weight_of ? context_.hooks.weight_of(key.account) : 1.0;
  return {key.priority,
          !queue.at_risk,
          DominantShare(TeamUse(key.team), quota.value_or(cluster_.total)),
          DominantShare(AccountUse(key.account), cluster_.total) / weight,
          head.due,
          head.queued_at,
          head.task_id};
}

double start_planner::SecondsForDueWork() const {
  double processor_seconds = 0;
  for (const auto& [key, entries] : queues_.queues()) {
    if (!HasDueTime(key, entries))
      continue;
    const task_request& head =
        context_.state.Find(entries.begin()->task_id)->request;
    const std::chrono::duration<double> run_time = sizes_.RunTimeOf(head);
    processor_seconds += static_cast<double>(entries.size()) *
                         run_time.count() *
                         static_cast<double>(GrantFor(head).processors_milli);
  }
  const auto processors = static_cast<double>(
      std::max<std::int64_t>(1, cluster_.total.processors_milli));
  return processor_seconds / (processors * kDueWorkProcessorShare);
}

bool start_planner::IsAtRisk(const queue_key& key,
                             const std::set<queue_entry>& entries,
                             double due_work_s) const {
  if (!HasDueTime(key, entries))
    return false;
  const task_request& head =
      context_.state.Find(entries.begin()->task_id)->request;
  const std::chrono::duration<double> run_time = sizes_.RunTimeOf(head);
  const std::chrono::duration<double> left =
      entries.begin()->due - context_.now;
  return (run_time.count() + due_work_s) * kRiskFactor > left.count();
}

void start_planner::ServeHead(queue_cursor& queue) {
  const queue_entry& entry = *queue.next;
  ++queue.next;
  if (started_.contains(entry.task_id))
    return;
  const task& head = *context_.state.Find(entry.task_id);
  if (auto reason = ReasonToPark(head)) {
    planned_.emplace_back(task_parked{entry.task_id, std::move(*reason)});
    return;
  }
  const auto members = RequestsFor(head, queue.at_risk);
  if (members.empty())
    return;
  if (!IsWithinQuota(members)) {
    queue.next = queue.end;
    return;
  }
  if (!Place(members))
    HandleUnplaced(queue, entry, members);
}

void start_planner::HandleUnplaced(
    queue_cursor& queue,
    const queue_entry& entry,
    const std::vector<placement_request>& members) {
  if (queue.key->priority != priority_class::kBatch) {
    if (context_.settings.preemption_enabled) {
      for (const placement_request& member : members)
        PreemptFor(member);
    }
    if (++queue.unplaced >= kMaxFailedPlacements)
      queue.next = queue.end;
    return;
  }
  queue.next = queue.end;
  if (context_.now < entry.queued_at + context_.settings.reservation_delay)
    return;
  for (const placement_request& member : members) {
    if (!round_.HasRoom(member))
      ReserveForLater(member);
  }
}

std::optional<std::string> start_planner::ReasonToPark(
    const task& waiting) const {
  const auto trusted = std::count_if(
      waiting.failed_worker_ids.begin(), waiting.failed_worker_ids.end(),
      [this](const std::string& id) { return context_.health.IsTrusted(id); });
  if (!context_.settings.learning_enabled)
    return std::nullopt;
  const std::int64_t needed = sizes_.SizeOf(waiting.request).memory_mib;
  if (waiting.out_of_memory_count > 0 && needed > cluster_.largest.memory_mib) {
    return "outgrew " + std::to_string(cluster_.largest.memory_mib) +
           " MiB of memory, the most that a worker has";
  }
  if (trusted < waiting.request.attempt_limit)
    return std::nullopt;
  return "crashed on " + std::to_string(trusted) +
         " healthy workers, last on " + waiting.failed_worker_ids.back();
}

std::vector<placement_request> start_planner::RequestsFor(const task& head,
                                                          bool at_risk) const {
  if (head.request.gang.empty())
    return {RequestFor(head, at_risk)};
  const std::string& gang = head.request.gang;
  if (!context_.attempts.OpenInGang(gang).empty())
    return {};
  std::vector<placement_request> members;
  for (const std::string& id : queues_.WaitingInGang(gang))
    members.push_back(RequestFor(*context_.state.Find(id), at_risk));
  std::int64_t ended = 0;
  if (static_cast<std::int64_t>(members.size()) < head.request.gang_size)
    ended = context_.state.FinalTasksInGang(gang);
  const auto accounted_for = static_cast<std::int64_t>(members.size()) + ended;
  return accounted_for >= head.request.gang_size
             ? members
             : std::vector<placement_request>{};
}

placement_request start_planner::RequestFor(const task& waiting,
                                            bool at_risk) const {
  return {&waiting, GrantFor(waiting.request),
          InflationLimit(waiting.request, at_risk)};
}

double start_planner::InflationLimit(const task_request& request,
                                     bool at_risk) const {
  // Urgent work waits only for capacity; it is still placed where it adds the
  // least interference cost.
  if (request.urgent)
    return std::numeric_limits<double>::infinity();
  return at_risk ? context_.settings.max_at_risk_placement_inflation
                 : context_.settings.max_placement_inflation;
}

coordination::resources start_planner::GrantFor(
    const task_request& request) const {
  const coordination::resources learned = sizes_.SizeOf(request);
  const coordination::resources& largest = cluster_.largest;
  const coordination::resources possible{
      std::min(learned.processors_milli, largest.processors_milli),
      std::min(learned.memory_mib, largest.memory_mib),
      std::min(learned.accelerators, largest.accelerators)};
  return ElementwiseMax(request.demand, possible);
}

bool start_planner::IsWithinQuota(
    const std::vector<placement_request>& members) const {
  const task_request& wanted = members.front().placed->request;
  if (!context_.hooks.quota_of || wanted.kind != task_kind::kBatch)
    return true;
  const auto quota = context_.hooks.quota_of(wanted.team);
  if (!quota)
    return true;
  coordination::resources used = TeamUse(wanted.team);
  for (const placement_request& member : members)
    used = Plus(used, member.granted);
  return IsWithin(used, *quota);
}

bool start_planner::Place(const std::vector<placement_request>& members) {
  if (members.size() == 1) {
    const auto worker = round_.Choose(members.front());
    if (!worker)
      return false;
    RecordStart(members.front(), *worker);
    round_.Commit(members.front(), *worker);
    return true;
  }
  placement_round trial = round_;
  std::vector<std::size_t> chosen;
  for (const placement_request& member : members) {
    const auto worker = trial.Choose(member);
    if (!worker)
      return false;
    trial.Commit(member, *worker);
    chosen.push_back(*worker);
  }
  for (std::size_t member = 0; member < members.size(); ++member) {
    RecordStart(members[member], chosen[member]);
    round_.Commit(members[member], chosen[member]);
  }
  return true;
}

void start_planner::RecordStart(const placement_request& started,
                                std::size_t worker) {
  const task& placed = *started.placed;
  planned_.emplace_back(attempt_started{placed.request.id, placed.attempt + 1,
                                        round_.view(worker).id,
                                        started.granted});
  started_.insert(placed.request.id);
  reservations_.erase(placed.request.id);
  if (placed.request.kind != task_kind::kBatch)
    return;
  auto& team = started_by_team_[placed.request.team];
  team = Plus(team, started.granted);
  auto& account = started_by_account_[placed.request.account];
  account = Plus(account, started.granted);
}

void start_planner::PreemptFor(const placement_request& request) {
  const std::string& id = request.placed->request.id;
  if (reservations_.contains(id))
    return;
  const auto planned = PlanPreemption(context_, round_, request);
  if (!planned)
    return;
  for (const checkpoint_ordered& stop : planned->stops) {
    round_.MarkStopping(stop.task_id);
    planned_.emplace_back(stop);
  }
  const std::string& worker_id = round_.view(planned->worker).id;
  reservations_[id] = {worker_id, request.granted,
                       context_.now + kPreemptionReservation};
  round_.Reserve(worker_id, id, request.granted);
}

void start_planner::ReserveForLater(const placement_request& request) {
  const std::string& id = request.placed->request.id;
  if (reservations_.contains(id) ||
      reservations_.size() >= context_.settings.max_reservations)
    return;
  std::optional<std::size_t> emptiest;
  double lowest = 0;
  for (std::size_t worker = 0; worker < round_.size(); ++worker) {
    const coordination::resources& capacity = round_.view(worker).capacity;
    const coordination::resources reserved =
        round_.ReservedForOthers(worker, id);
    if (!Fits(request.granted, reserved, capacity))
      continue;
    const double used = DominantShare(round_.committed(worker), capacity);
    if (emptiest && used >= lowest)
      continue;
    emptiest = worker;
    lowest = used;
  }
  if (!emptiest)
    return;
  const std::string& worker_id = round_.view(*emptiest).id;
  reservations_[id] = {worker_id, request.granted,
                       context_.now + kBatchReservation};
  round_.Reserve(worker_id, id, request.granted);
}

coordination::resources start_planner::TeamUse(const std::string& team) const {
  return Plus(context_.attempts.UsedByTeam(team),
              FindOrNone(started_by_team_, team));
}

coordination::resources start_planner::AccountUse(
    const std::string& account) const {
  return Plus(context_.attempts.UsedByAccount(account),
              FindOrNone(started_by_account_, account));
}

}  // namespace chivecrank::scheduling
