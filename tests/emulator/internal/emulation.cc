#include "chivecrank/emulator/emulation.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <sstream>
#include <utility>

namespace chivecrank::emulator {
namespace {

constexpr std::chrono::milliseconds kLongestStep{20};
constexpr std::chrono::milliseconds kPatience{2800};
constexpr std::chrono::milliseconds kPollInterval{400};
constexpr std::int32_t kAttempts = 5;
/// Time until a worker that a task crashed is back.
constexpr std::chrono::milliseconds kBackAfterCrash{3000};
constexpr std::string_view kWorkers = "workers/";
constexpr std::string_view kConfiguration = "operator/queues";
constexpr std::string_view kDrains = "operator/drains/";
constexpr std::uint16_t kWorkerPort = 8367;
constexpr std::size_t kWorkersPerNetwork = 250;

constexpr std::int64_t kUnknownStay = -1;

/// The emulator's own form of a worker's entry: whether it drains, its capacity
/// and how much longer it stays; the rest is looked up.
std::string EntryOf(const submissions::worker_description& worker) {
  const coordination::resources& capacity = worker.capacity;
  const std::int64_t stay =
      worker.stays_at_least ? worker.stays_at_least->count() : kUnknownStay;
  return absl::StrFormat("%s %d %d %d %d",
                         worker.draining ? "draining" : "ready",
                         capacity.processors_milli, capacity.memory_mib,
                         capacity.accelerators, stay);
}

void ReadEntry(std::string_view entry,
               submissions::worker_description& worker) {
  std::istringstream words{std::string(entry)};
  std::string state;
  std::int64_t stay = kUnknownStay;
  words >> state >> worker.capacity.processors_milli >>
      worker.capacity.memory_mib >> worker.capacity.accelerators >> stay;
  worker.draining = state == "draining";
  worker.stays_at_least.reset();
  if (stay != kUnknownStay)
    worker.stays_at_least = std::chrono::milliseconds(stay);
}

coordination::resources ShareOf(const coordination::resources& whole,
                                double share) {
  const auto part = [share](std::int64_t amount) {
    return std::llround(static_cast<double>(amount) * share);
  };
  return {part(whole.processors_milli), part(whole.memory_mib),
          part(whole.accelerators)};
}

std::string DomainName(std::size_t domain) {
  return absl::StrFormat("domain-%d", domain);
}

/// The emulator's own form of an operator's drain: a key a domain.
base::result<std::optional<std::string>> ReadDrainKey(std::string_view key) {
  if (!key.starts_with(kDrains))
    return std::optional<std::string>();
  return std::optional<std::string>(key.substr(kDrains.size()));
}

/// The identifier of the worker that replaces `worker`.
std::string SuccessorOf(const std::string& worker) {
  return worker + "-next";
}

settings::endpoint AddressOf(std::size_t worker) {
  return {absl::StrFormat("10.64.%d.%d", worker / kWorkersPerNetwork,
                          worker % kWorkersPerNetwork),
          kWorkerPort};
}

bool IsOver(runtime::submission_state state) {
  return state == runtime::submission_state::kCompleted ||
         state == runtime::submission_state::kFailed ||
         state == runtime::submission_state::kCancelled;
}

}  // namespace

emulation::emulation(emulation_settings settings)
    : settings_(std::move(settings)),
      loop_(clock_),
      random_(settings_.seed),
      store_(loop_, settings_.seed + 1),
      permits_(loop_),
      workers_(
          loop_,
          settings_.seed + 2,
          [this](const submissions::task_ref& task) { return TruthOf(task); },
          [this](const submissions::start_command& command) {
            return permits_.Holds(command);
          },
          [this](const std::string& worker) { CrashByTask(worker); },
          settings_.pressure,
          settings_.service_swing) {
  for (std::size_t i = 0; i < settings_.workers; ++i)
    AddWorkerAt(i, last_started_at_ms_);
  workers_.SetGuarding(settings_.workers_guard_capacity);
  store_.SetValueLimit(settings_.value_bytes);
  WriteConfiguration();
  instances_.resize(settings_.instances);
  for (std::size_t i = 0; i < settings_.instances; ++i)
    StartLater(i);
}

emulation::~emulation() = default;

void emulation::WriteConfiguration() {
  store_.Put(std::string(kConfiguration), "1");
}

void emulation::List(const std::string& worker) {
  store_.Put(std::string(kWorkers) + worker,
             EntryOf(workers_.DescriptionOf(worker)));
}

void emulation::Unlist(const std::string& worker) {
  store_.Delete(std::string(kWorkers) + worker);
}

void emulation::AddWorker() {
  AddWorkerAt(settings_.workers + added_workers_, ++last_started_at_ms_);
  ++added_workers_;
}

void emulation::AddWorkerAt(std::size_t place, std::int64_t started_at_ms) {
  submissions::worker_description worker;
  worker.id = absl::StrFormat("w-%03d", place);
  worker.service = "service";
  worker.failure_domain = DomainName(place % settings_.failure_domains);
  worker.rack = absl::StrFormat("rack-%d", place / settings_.workers_per_rack);
  worker.labels = {"a", worker.rack};
  worker.capacity = settings_.capacity;
  worker.address = AddressOf(place);
  worker.started_at_ms = started_at_ms;
  workers_.Add(worker);
  List(worker.id);
}

std::string emulation::Replace(const std::string& worker) {
  std::string successor = SuccessorOf(worker);
  workers_.Replace(worker, successor, ++last_started_at_ms_);
  List(successor);
  return successor;
}

void emulation::Restart(const std::string& worker) {
  workers_.Restart(worker, ++last_started_at_ms_);
  List(worker);
}

std::string emulation::NewestAt(std::string worker) const {
  while (workers_.IsReplaced(worker))
    worker = SuccessorOf(worker);
  return worker;
}

std::vector<submissions::task_ref> emulation::IdleLastingTasks() const {
  std::vector<submissions::task_ref> idle;
  for (const auto& [id, caller] : submitted_) {
    if (!caller.accepted || caller.over || !caller.load->step.long_running)
      continue;
    const std::int32_t count = caller.load->step.task_count;
    for (std::int32_t index = 0; index < count; ++index)
      if (const submissions::task_ref task{id, 0, 0, index};
          !workers_.IsRunning(task) && !TruthOf(task).deadly)
        idle.push_back(task);
  }
  return idle;
}

void emulation::Drain(const std::string& worker,
                      std::optional<std::chrono::milliseconds> stays_at_least) {
  if (workers_.IsCrashed(worker))
    return;
  workers_.Leaves(worker, stays_at_least);
  List(worker);
}

void emulation::DrainDomain(std::size_t domain, bool begins) {
  const std::string name = DomainName(domain);
  const std::string key = std::string(kDrains) + name;
  if (begins)
    store_.Put(key, "{}");
  else
    store_.Delete(key);
  workers_.SetDrained(name, begins);
}

void emulation::Resize(const std::string& worker, double share) {
  workers_.SetCapacity(worker, ShareOf(settings_.capacity, share));
  if (!workers_.IsCrashed(worker))
    List(worker);
}

void emulation::CrashByTask(const std::string& worker) {
  workers_.Crash(worker);
  Unlist(worker);
  back_at_ = loop_.Now() + kBackAfterCrash;
  const bool is_replaced = ++crashes_by_tasks_ % 2 == 0;
  loop_.After(kBackAfterCrash, [this, worker, is_replaced] {
    if (workers_.IsReplaced(worker) || !workers_.IsCrashed(worker))
      return;
    if (is_replaced)
      Replace(worker);
    else
      Restart(worker);
  });
}

void emulation::StartLater(std::size_t index) {
  if (settings_.start_spread.count() == 0)
    return StartInstance(index);
  std::uniform_int_distribution<std::int64_t> delay(
      0, settings_.start_spread.count());
  loop_.After(std::chrono::milliseconds(delay(random_)),
              [this, index] { StartInstance(index); });
}

void emulation::StartInstance(std::size_t index) {
  instance_state& made = instances_.at(index);
  // Calls of the life before may still be on their way.
  retired_.push_back(std::exchange(made, {}));
  made.node = absl::StrFormat("node-%d", index);
  made.processor = std::make_unique<emulated_processor>(
      clock_, ProcessorsOf(index), settings_.costs);
  made.system_clock = std::make_unique<emulated_clock>(clock_);
  made.clock = std::make_unique<base::holdover_clock>(
      *made.system_clock, base::holdover_settings{});
  made.log = std::make_unique<event_log::event_log>(
      *made.clock, made.node, event_log::log_settings{},
      [this](std::string_view bytes) {
        settings_.on_log_line(bytes);
        return bytes.size();
      });
  made.store = store_.ViewFor(made.node, *made.processor);
  made.orders = workers_.OrdersFor(*made.processor);
  made.permits = permits_.ViewFor(*made.processor);
  runtime::runtime_settings wanted;
  wanted.ownership.node = made.node;
  wanted.ownership.processors_milli = ProcessorsOf(index);
  wanted.driver.node = made.node;
  wanted.driver.max_entry_bytes = settings_.max_entry_bytes;
  wanted.driver.scheduling.worker_lease = settings_.worker_lease;
  wanted.workers_per_shard = settings_.workers_per_shard;
  if (settings_.failure_domains > 1)
    wanted.driver.scheduling.drain_within = emulated_workers::kDrainInForce;
  runtime::worker_source workers{
      std::string(kWorkers),
      [this](std::string_view id, std::string_view entry)
          -> base::result<submissions::worker_description> {
        submissions::worker_description worker =
            workers_.DescriptionOf(std::string(id));
        ReadEntry(entry, worker);
        return worker;
      }};
  runtime::configuration_source configuration{
      "operator/", std::string(kConfiguration),
      [this](std::string_view) -> base::result<submissions::queue_table> {
        submissions::queue_table table;
        table.version = 1;
        for (const queue_load& load : settings_.queues)
          table.routes.push_back(
              {load.name, "host", "/" + load.name + "/", load.policy});
        return table;
      },
      &ReadDrainKey};
  made.runtime = std::make_unique<runtime::instance_runtime>(
      made.processor->Loop(), *made.clock, *made.store, *made.orders,
      *made.permits, *made.log, std::move(wanted), std::move(workers),
      std::move(configuration));
  made.runtime->Start();
}

void emulation::KillInstance(std::size_t index) {
  instance_state& killed = instances_.at(index);
  killed.runtime.reset();
  // Nothing of a dead process runs on.
  killed.processor->Freeze(true);
}

void emulation::StopInstance(std::size_t index) {
  instances_.at(index).runtime->Stop([this, index] {
    loop_.After(base::milliseconds(1), [this, index] { KillInstance(index); });
  });
}

bool emulation::IsAlive(std::size_t index) const {
  return instances_.at(index).runtime != nullptr;
}

std::size_t emulation::OwnerOf(std::uint32_t shard) const {
  for (std::size_t i = 0; i < instances_.size(); ++i)
    if (IsAlive(i) && instances_[i].runtime->Ownership().Owns(shard))
      return i;
  return instances_.size();
}

void emulation::Isolate(std::size_t index, bool isolated) {
  const std::string& node = instances_.at(index).node;
  if (isolated)
    store_.Faults().rejected_nodes.insert(node);
  else
    store_.Faults().rejected_nodes.erase(node);
}

void emulation::Freeze(std::size_t index, bool frozen) {
  if (IsAlive(index))
    instances_.at(index).processor->Freeze(frozen);
}

void emulation::JumpClock(std::size_t index, std::chrono::milliseconds jump) {
  instances_.at(index).system_clock->JumpTo(jump);
}

void emulation::Run(std::chrono::milliseconds time, bool with_load) {
  const base::time_point end = clock_.Now() + time;
  if (with_load && !loading_)
    for (std::size_t i = 0; i < settings_.queues.size(); ++i)
      OfferLoad(i);
  loading_ = with_load;
  while (clock_.Now() < end) {
    const base::time_point wake =
        NextWake(std::min(end, clock_.Now() + kLongestStep));
    if (wake > clock_.Now())
      clock_.Advance(wake - clock_.Now());
    loop_.RunOnce(base::duration::zero());
    for (const instance_state& instance : instances_) {
      if (!instance.processor)
        continue;
      instance.processor->RunTurn();
      instance.log->Flush();
    }
  }
}

std::int64_t emulation::ProcessorsOf(std::size_t index) const {
  const auto& processors = settings_.instance_processors_milli;
  return processors.at(std::min(index, processors.size() - 1));
}

base::time_point emulation::NextWake(base::time_point latest) const {
  base::time_point wake = latest;
  if (const auto next = loop_.NextDue())
    wake = std::min(wake, *next);
  for (const instance_state& instance : instances_) {
    const auto next =
        instance.processor ? instance.processor->NextTurn() : std::nullopt;
    if (next)
      wake = std::min(wake, *next);
  }
  return std::max(wake, clock_.Now());
}

void emulation::OfferLoad(std::size_t queue) {
  const queue_load& load = settings_.queues[queue];
  std::exponential_distribution<double> pause(load.per_second * load_factor_);
  const auto wait = std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(pause(random_)));
  loop_.After(wait, [this, queue] {
    if (!loading_)
      return;
    Submit(settings_.queues[queue]);
    OfferLoad(queue);
  });
}

std::string emulation::Submit(const queue_load& load) {
  caller_state caller;
  caller.load = &load;
  caller.offered = Make(load);
  caller.work = DrawWork(load, caller.offered);
  caller.since = clock_.Now();
  std::string id = caller.offered.id;
  workers_.Know(caller.offered);
  std::uniform_real_distribution<double> share(0, 1);
  poisoned_[id] = share(random_) < load.poisoned_share;
  DrawDeadlyTask(caller.offered);
  submitted_[id] = std::move(caller);
  ++callers_[load.name].offered;
  Offer(id);
  return id;
}

void emulation::DrawDeadlyTask(const submissions::submission& offered) {
  std::uniform_real_distribution<double> share(0, 1);
  if (deadly_share_ <= 0 || share(random_) >= deadly_share_)
    return;
  const auto below = [this](std::int64_t count) {
    return static_cast<std::int32_t>(
        std::uniform_int_distribution<std::int64_t>(0, count - 1)(random_));
  };
  submissions::task_ref task{offered.id};
  task.step = below(static_cast<std::int64_t>(offered.steps.size()));
  task.index =
      below(offered.steps.at(static_cast<std::size_t>(task.step)).task_count);
  deadly_[offered.id] = task;
}

submissions::submission emulation::Make(const queue_load& load) {
  submissions::submission made;
  made.id = absl::StrFormat("%016x", ++last_id_);
  made.queue = load.name;
  made.policy = load.policy;
  made.spec = "spec";
  for (std::int32_t i = 0; i < load.steps; ++i) {
    submissions::step_request step = load.step;
    if (i > 0)
      step.after = {i - 1};
    if (!load.images.empty()) {
      std::uniform_int_distribution<std::size_t> pick(0,
                                                      load.images.size() - 1);
      step.image = load.images[pick(random_)];
    }
    made.steps.push_back(step);
  }
  if (load.occurrences > 0) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_.WallNow().time_since_epoch());
    made.repeats = {load.occurrences, now + load.first_due_after,
                    load.interval};
  }
  return made;
}

std::vector<std::chrono::milliseconds> emulation::DrawWork(
    const queue_load& load,
    submissions::submission& offered) {
  std::vector<std::chrono::milliseconds> work(offered.steps.size(), load.work);
  const bool exact = load.work_spread == 0 && load.estimate_error == 0;
  if (exact)
    return work;
  std::normal_distribution<double> deviation;
  const auto scaled = [&](std::chrono::milliseconds time, double by) {
    return std::chrono::milliseconds(std::llround(
        static_cast<double>(time.count()) * std::exp(by * deviation(random_))));
  };
  for (std::size_t i = 0; i < work.size(); ++i) {
    work[i] = scaled(load.work, load.work_spread);
    offered.steps[i].estimate = scaled(work[i], load.estimate_error);
  }
  return work;
}

std::chrono::duration<double> emulation::Objective(const caller_state& caller) {
  // Each step waits for the one before it.
  const std::chrono::duration<double> chain = std::accumulate(
      caller.work.begin(), caller.work.end(), std::chrono::milliseconds(0));
  const submissions::queue_policy& policy = caller.load->policy;
  const std::chrono::milliseconds last_due =
      caller.load->first_due_after +
      caller.load->interval * std::max(caller.load->occurrences - 1, 0);
  return last_due + chain * policy.stretch + policy.target_run_time;
}

emulation::instance_state* emulation::ReadyInstance() {
  std::vector<instance_state*> ready;
  for (instance_state& instance : instances_)
    if (instance.runtime && instance.runtime->IsReady())
      ready.push_back(&instance);
  if (ready.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> pick(0, ready.size() - 1);
  return ready[pick(random_)];
}

bool emulation::AskInstance(
    std::function<void(runtime::instance_runtime&)> use) {
  instance_state* instance = ReadyInstance();
  if (instance == nullptr)
    return false;
  // An instance that is killed meanwhile answers nothing.
  instance->processor->Deliver(
      0, [instance, asked = instance->runtime.get(), use = std::move(use)] {
        if (instance->runtime.get() == asked)
          use(*asked);
      });
  return true;
}

void emulation::Offer(const std::string& id) {
  ++submitted_.at(id).attempts;
  auto answered = std::make_shared<bool>(false);
  const auto on_answer = [this, id, answered](runtime::submit_answer answer) {
    if (!std::exchange(*answered, true))
      OnAnswer(id, answer);
  };
  const auto submit = [this, id, on_answer,
                       give_up_at = clock_.Now() + kPatience](
                          runtime::instance_runtime& instance) {
    instance.Intake().Submit(submitted_.at(id).offered, give_up_at, on_answer);
  };
  if (!AskInstance(submit))
    return OnAnswer(id, {runtime::submit_outcome::kRejected,
                         std::chrono::milliseconds(500)});
  // An instance that dies answers nothing.
  loop_.After(kPatience + base::milliseconds(200), [this, id, answered] {
    if (!std::exchange(*answered, true))
      OnAnswer(id, {runtime::submit_outcome::kOutcomeUnknown});
  });
}

void emulation::OnAnswer(const std::string& id, runtime::submit_answer answer) {
  caller_state& caller = submitted_.at(id);
  caller_counts& counts = callers_[caller.load->name];
  if (answer.verdict == runtime::submit_outcome::kAccepted) {
    ++counts.accepted;
    caller.accepted = true;
    return Poll(id);
  }
  if (caller.attempts < kAttempts) {
    const auto wait = std::max(answer.retry_after, base::milliseconds(100));
    loop_.After(wait, [this, id] { Offer(id); });
    return;
  }
  caller.given_up = true;
  const bool rejected = answer.verdict == runtime::submit_outcome::kRejected;
  ++(rejected ? counts.rejected : counts.unknown);
}

void emulation::Poll(const std::string& id) {
  AskInstance([this, id](runtime::instance_runtime& instance) {
    instance.Intake().State(id, [this, id](runtime::submission_state state) {
      OnState(id, state);
    });
  });
  if (!submitted_.at(id).over)
    loop_.After(kPollInterval, [this, id] { Poll(id); });
}

void emulation::OnState(const std::string& id,
                        runtime::submission_state state) {
  caller_state& caller = submitted_.at(id);
  caller.shown = state;
  if (caller.over || !IsOver(state))
    return;
  caller.over = true;
  workers_.Over(id);
  caller_counts& counts = callers_[caller.load->name];
  if (state == runtime::submission_state::kFailed) {
    ++counts.failed;
    workers_.ShownAsFailed(id);
  }
  if (state == runtime::submission_state::kCancelled)
    ++counts.cancelled;
  if (state != runtime::submission_state::kCompleted)
    return;
  ++counts.completed;
  if (clock_.Now() - caller.since <= Objective(caller)) {
    caller.in_objective = true;
    ++counts.in_objective;
  }
}

void emulation::Cancel(const std::string& id) {
  AskInstance([this, id](runtime::instance_runtime& instance) {
    instance.Intake().Cancel(
        id, clock_.Now() + kPatience,
        [this, id](runtime::cancel_outcome verdict) {
          if (verdict == runtime::cancel_outcome::kCancelled)
            workers_.Over(id);
        });
  });
}

task_truth emulation::TruthOf(const submissions::task_ref& task) const {
  const auto found = submitted_.find(task.submission);
  if (found == submitted_.end())
    return {};
  const auto deadly = deadly_.find(task.submission);
  return {found->second.work.at(static_cast<std::size_t>(task.step)),
          poisoned_.at(task.submission),
          deadly != deadly_.end() && deadly->second == task};
}

caller_counts emulation::Total() const {
  caller_counts total;
  for (const auto& [queue, counts] : callers_) {
    total.offered += counts.offered;
    total.accepted += counts.accepted;
    total.rejected += counts.rejected;
    total.unknown += counts.unknown;
    total.completed += counts.completed;
    total.in_objective += counts.in_objective;
    total.failed += counts.failed;
    total.cancelled += counts.cancelled;
  }
  return total;
}

std::vector<std::string> emulation::Open() const {
  std::vector<std::string> open;
  for (const auto& [id, caller] : submitted_)
    if (caller.accepted && !caller.over && !caller.load->step.long_running)
      open.push_back(id);
  return open;
}

std::map<std::string, double> emulation::WorstWindows(
    std::chrono::milliseconds window) const {
  struct tally {
    double offered = 0;
    double in_objective = 0;
  };
  std::map<std::string, std::map<std::int64_t, tally>> windows;
  for (const auto& [id, caller] : submitted_) {
    if (caller.load->step.long_running)
      continue;
    tally& counted =
        windows[caller.load->name][caller.since.time_since_epoch() / window];
    ++counted.offered;
    counted.in_objective += caller.in_objective ? 1 : 0;
  }
  std::map<std::string, double> worst;
  for (const auto& [queue, counted] : windows) {
    double& least = worst.try_emplace(queue, 1).first->second;
    for (const auto& [number, one] : counted)
      least = std::min(least, one.in_objective / one.offered);
  }
  return worst;
}

std::vector<std::string> emulation::Missed() const {
  std::vector<std::string> missed;
  for (const auto& [id, caller] : submitted_) {
    const bool ended_badly =
        caller.over && !caller.in_objective &&
        caller.shown != runtime::submission_state::kCancelled;
    if (caller.given_up || ended_badly)
      missed.push_back(id);
  }
  return missed;
}

runtime::submission_state emulation::StateOf(const std::string& id) const {
  return submitted_.at(id).shown;
}

}  // namespace chivecrank::emulator
