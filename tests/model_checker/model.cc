#include "model.h"

#include <algorithm>

#include "chivecrank/scheduling/placement.h"

namespace chivecrank::model_checker {
namespace {

using std::chrono::milliseconds;

/// One task fills a worker.
constexpr coordination::resources kCapacity{1000, 1000, 0};
constexpr std::size_t kBatch = 100;
constexpr milliseconds kSavedByStop{1};

std::string WorkerId(int worker) {
  return "w" + std::to_string(worker);
}

scheduling::task_request Request(const std::string& id) {
  scheduling::task_request request;
  request.id = id;
  request.demand = kCapacity;
  request.checkpoints = true;
  request.attempt_limit = 3;
  return request;
}

protocol::authority AuthorityOf(const model_options& options,
                                const scheduler_model& scheduler,
                                base::time_point now) {
  return protocol::AuthorityAt(now, scheduler.valid_until, scheduler.lapsed,
                               options.terms.outage_grace);
}

// --- the store ---------------------------------------------------------------

enum class write_outcome { kConfirmed, kAnswerLost };

void Confirm(scheduler_model& scheduler) {
  scheduler.journal_seen += 1;
  scheduler.in_doubt = false;
  scheduler.ledger->OnConfirmed();
}

/// Commits what is staged, as the journal's compare-and-swap does.
void Write(model_state& state, int by, write_outcome outcome) {
  scheduler_model& scheduler = state.schedulers[static_cast<std::size_t>(by)];
  store_model& store = state.store;
  const auto& batch = scheduler.ledger->TakeBatch(kBatch);
  if (scheduler.in_doubt) {
    // Read back: the slot holds this batch, since only the answer was lost.
    if (store.writers[scheduler.journal_seen] == scheduler.epoch)
      Confirm(scheduler);
    return;
  }
  if (store.writers.size() != scheduler.journal_seen) {
    scheduler.ledger.reset();
    return;
  }
  store.journal.insert(store.journal.end(), batch.begin(), batch.end());
  store.writers.push_back(scheduler.epoch);
  if (outcome == write_outcome::kAnswerLost)
    scheduler.in_doubt = true;
  else
    Confirm(scheduler);
}

void Claim(const model_options& options, model_state& state, int by) {
  scheduler_model& scheduler = state.schedulers[static_cast<std::size_t>(by)];
  store_model& store = state.store;
  store.owner = by;
  store.epoch += 1;
  store.session_ends = state.now + milliseconds(options.session_term);
  scheduler = {};
  scheduler.epoch = store.epoch;
  scheduler.valid_until =
      store.session_ends - milliseconds(options.session_margin);
  scheduler.ledger.emplace(scheduler.epoch, options.believed_terms, state.now);
  for (const scheduling::event& recorded : store.journal) {
    if (!scheduler.ledger->Replay(recorded).has_value())
      state.broken = "the journal can't be replayed";
  }
  store.writers.push_back(scheduler.epoch);
  scheduler.journal_seen = store.writers.size();
}

// --- the workers -------------------------------------------------------------

void EndLapsed(worker_model& worker, base::time_point now) {
  if (!worker.fence.IsLeaseExpired(now))
    return;
  for (auto& [id, task] : worker.tasks) {
    if (task.state == workers::attempt_state::kRunning)
      task.state = workers::attempt_state::kStopped;
  }
}

void StartAt(model_state& state,
             worker_model& worker,
             const workers::start_command& start) {
  const auto known = worker.tasks.find(start.attempt.task_id);
  if (known != worker.tasks.end() &&
      known->second.attempt.attempt >= start.attempt.attempt) {
    return;
  }
  if (start.saved < state.saved[start.attempt.task_id])
    state.broken = "an evicted task did not resume from its checkpoint";
  worker.tasks[start.attempt.task_id] = {
      start.attempt, workers::attempt_state::kRunning, start.saved};
  state.started.insert(start.attempt);
}

/// A worker takes a sync; nothing comes back when it is refused.
std::optional<workers::sync_report> Deliver(
    const model_options& options,
    model_state& state,
    int at,
    const workers::sync_command& command) {
  worker_model& worker = state.workers[static_cast<std::size_t>(at)];
  const auto verdict =
      worker.fence.OnSync(command.order, state.now, options.terms.term);
  if (verdict == protocol::sync_outcome::kFenced ||
      verdict == protocol::sync_outcome::kStale) {
    return std::nullopt;
  }
  for (const workers::attempt_id& ended : command.acknowledged) {
    const auto known = worker.tasks.find(ended.task_id);
    if (known != worker.tasks.end() && known->second.attempt == ended)
      worker.tasks.erase(known);
  }
  for (const workers::stop_command& stop : command.stops) {
    const auto known = worker.tasks.find(stop.attempt.task_id);
    if (known == worker.tasks.end() || known->second.attempt != stop.attempt ||
        known->second.state != workers::attempt_state::kRunning) {
      continue;
    }
    known->second.state = workers::attempt_state::kStopped;
    if (stop.save)
      known->second.saved += kSavedByStop;
  }
  if (verdict == protocol::sync_outcome::kRenewed) {
    for (const workers::start_command& start : command.starts)
      StartAt(state, worker, start);
  }
  workers::sync_report report{worker.fence.incarnation(), true, 1, {}};
  for (const auto& [id, task] : worker.tasks)
    report.attempts.push_back({task.attempt, task.state, task.saved});
  return report;
}

// --- the schedulers ----------------------------------------------------------

void TakeReport(model_state& state,
                int by,
                int from,
                const workers::sync_command& command,
                const workers::sync_report& report) {
  scheduler_model& scheduler = state.schedulers[static_cast<std::size_t>(by)];
  const auto taken =
      scheduler.ledger->OnReport(WorkerId(from), command, report, state.now);
  if (!taken.has_value())
    state.broken = "a report can't follow the state";
}

void NoteSaved(model_state& state) {
  for (const scheduling::event& recorded : state.store.journal) {
    const auto* ended = std::get_if<scheduling::attempt_ended>(&recorded);
    if (ended == nullptr)
      continue;
    milliseconds& known = state.saved[ended->task_id];
    known = std::max(known, ended->saved_run_time);
  }
}

/// Stages what the time and the plan say, and writes it.
void Work(const model_options& options,
          model_state& state,
          int by,
          write_outcome outcome) {
  scheduler_model& scheduler = state.schedulers[static_cast<std::size_t>(by)];
  shards::internal::shard_state_machine& ledger = *scheduler.ledger;
  if (AuthorityOf(options, scheduler, state.now) ==
      protocol::authority::kFull) {
    ledger.StageLostAttempts(state.now);
    std::vector<scheduling::worker_view> ready;
    for (int worker = 0; worker < kWorkers; ++worker) {
      if (ledger.LinkOf(WorkerId(worker)).HasAnswered())
        ready.push_back({WorkerId(worker), kCapacity, "r", "d"});
    }
    const auto starts = scheduling::PlanStarts(ledger.state(), ready);
    static_cast<void>(ledger.Stage({starts.begin(), starts.end()}));
  }
  ledger.AskForWrite();
  if (ledger.NeedsWrite())
    Write(state, by, outcome);
  NoteSaved(state);
}

class expansion {
 public:
  expansion(const model_options& options, const model_state& from)
      : options_(options), from_(from) {}

  std::vector<successor> All() {
    AddTick();
    for (int by = 0; by < kSchedulers; ++by)
      AddScheduler(by);
    for (std::size_t at = 0; at < from_.network.size(); ++at)
      AddArrival(at);
    for (int at = 0; at < kWorkers; ++at)
      AddWorker(at);
    return std::move(all_);
  }

 private:
  model_state& Add(std::string step) {
    all_.push_back({std::move(step), from_});
    return all_.back().state;
  }

  void AddTick() {
    const base::time_point end{milliseconds(options_.horizon)};
    if (from_.now >= end)
      return;
    model_state& next = Add("tick");
    next.now += milliseconds(1);
    for (worker_model& worker : next.workers)
      EndLapsed(worker, next.now);
  }

  void AddScheduler(int by) {
    const std::string name = "s" + std::to_string(by);
    const scheduler_model& known =
        from_.schedulers[static_cast<std::size_t>(by)];
    if (from_.now >= from_.store.session_ends && from_.left.claims > 0 &&
        (by == 1 || !known.ledger))
      AddClaim(name, by);
    if (!known.ledger)
      return;
    if (from_.store.owner == by && from_.store.epoch == known.epoch &&
        from_.now < from_.store.session_ends) {
      AddRenewal(name, by);
    }
    const auto may = AuthorityOf(options_, known, from_.now);
    if (may == protocol::authority::kNone)
      return;
    AddWork(name, by);
    for (int worker = 0; worker < kWorkers; ++worker)
      AddSync(name, by, worker, may == protocol::authority::kFull);
    if (may == protocol::authority::kFull)
      AddOrders(name, by);
    if (from_.left.crashes > 0) {
      model_state& next = Add(name + " crashes");
      --next.left.crashes;
      next.schedulers[static_cast<std::size_t>(by)] = {};
    }
  }

  void AddClaim(const std::string& name, int by) {
    model_state& next = Add(name + " claims");
    --next.left.claims;
    Claim(options_, next, by);
  }

  void AddWork(const std::string& name, int by) {
    const scheduler_model& known =
        from_.schedulers[static_cast<std::size_t>(by)];
    model_state& next = Add(name + " works");
    Work(options_, next, by, write_outcome::kConfirmed);
    const bool wrote = next.store.writers.size() != from_.store.writers.size();
    const bool fenced =
        !next.schedulers[static_cast<std::size_t>(by)].ledger.has_value();
    if (!wrote && !fenced && !known.in_doubt)
      all_.pop_back();
    if (!wrote || from_.left.lost_answers == 0)
      return;
    model_state& lost = Add(name + " works, the answer is lost");
    --lost.left.lost_answers;
    Work(options_, lost, by, write_outcome::kAnswerLost);
  }

  void AddRenewal(const std::string& name, int by) {
    if (from_.left.renewals == 0)
      return;
    model_state& next = Add(name + " renews its ownership");
    --next.left.renewals;
    next.store.session_ends = next.now + milliseconds(options_.session_term);
    next.schedulers[static_cast<std::size_t>(by)].valid_until =
        next.store.session_ends - milliseconds(options_.session_margin);
  }

  void AddSync(const std::string& name, int by, int worker, bool may_start) {
    if (from_.left.syncs == 0)
      return;
    const std::string step = name + " syncs " + WorkerId(worker);
    const auto send = [&](model_state& next) {
      --next.left.syncs;
      return next.schedulers[static_cast<std::size_t>(by)].ledger->NextSync(
          WorkerId(worker), may_start);
    };
    model_state& next = Add(step);
    const workers::sync_command command = send(next);
    const auto report = Deliver(options_, next, worker, command);
    if (report)
      TakeReport(next, by, worker, command, *report);
    else
      next.schedulers[static_cast<std::size_t>(by)].ledger.reset();
    // The workers are alike, so one that meets the delays is enough.
    if (from_.left.delayed_messages == 0 || worker != 0)
      return;
    model_state& delayed = Add(step + ", held up");
    --delayed.left.delayed_messages;
    const std::uint64_t epoch =
        delayed.schedulers[static_cast<std::size_t>(by)].epoch;
    delayed.network.push_back({by, worker, epoch, send(delayed)});
  }

  void AddOrders(const std::string& name, int by) {
    const auto& ledger = *from_.schedulers[static_cast<std::size_t>(by)].ledger;
    for (const auto& [id, task] : ledger.state().tasks()) {
      if (from_.left.evictions > 0 &&
          task.state == scheduling::task_state::kRunning) {
        model_state& next = Add(name + " evicts " + id);
        --next.left.evictions;
        static_cast<void>(
            next.schedulers[static_cast<std::size_t>(by)].ledger->Stage(
                {scheduling::checkpoint_ordered{id, task.attempt}}));
      }
      if (from_.left.cancels > 0 && !scheduling::IsFinal(task.state)) {
        model_state& next = Add(name + " cancels " + id);
        --next.left.cancels;
        static_cast<void>(
            next.schedulers[static_cast<std::size_t>(by)].ledger->Stage(
                {scheduling::task_cancelled{id}}));
      }
    }
  }

  void AddArrival(std::size_t at) {
    const delayed_sync& message = from_.network[at];
    const std::string step = "the sync of s" +
                             std::to_string(message.scheduler) + " reaches " +
                             WorkerId(message.worker);
    model_state& next = Add(step);
    next.network.erase(next.network.begin() + static_cast<std::ptrdiff_t>(at));
    const auto report =
        Deliver(options_, next, message.worker, message.command);
    const scheduler_model& sender =
        next.schedulers[static_cast<std::size_t>(message.scheduler)];
    if (!report || !sender.ledger || sender.epoch != message.epoch)
      return;
    // The answer may get lost, too.
    model_state answered = next;
    TakeReport(answered, message.scheduler, message.worker, message.command,
               *report);
    all_.push_back({step + " and is answered", std::move(answered)});
  }

  void AddWorker(int at) {
    const worker_model& worker = from_.workers[static_cast<std::size_t>(at)];
    for (const auto& [id, task] : worker.tasks) {
      if (from_.left.ends == 0 ||
          task.state != workers::attempt_state::kRunning) {
        continue;
      }
      model_state& next = Add(WorkerId(at) + " finishes " + id);
      --next.left.ends;
      next.workers[static_cast<std::size_t>(at)].tasks[id].state =
          workers::attempt_state::kDone;
      next.done.insert(id);
    }
    if (from_.left.worker_restarts > 0) {
      model_state& next = Add(WorkerId(at) + " restarts");
      --next.left.worker_restarts;
      worker_model fresh;
      fresh.restarts = worker.restarts + 1;
      fresh.fence =
          protocol::worker_fence("boot-" + std::to_string(fresh.restarts));
      next.workers[static_cast<std::size_t>(at)] = fresh;
    }
  }

  const model_options& options_;
  const model_state& from_;
  std::vector<successor> all_;
};

std::string TextOf(base::time_point time) {
  return std::to_string(time.time_since_epoch().count()) + ";";
}

std::string TextOf(const workers::attempt_id& attempt) {
  return attempt.task_id + "#" + std::to_string(attempt.attempt);
}

std::string TextOf(const workers::sync_command& command) {
  std::string text = std::to_string(command.order.epoch) + "." +
                     std::to_string(command.order.number) + "." +
                     std::to_string(command.order.last_answered) +
                     command.order.incarnation;
  for (const workers::start_command& start : command.starts)
    text +=
        "+" + TextOf(start.attempt) + ":" + std::to_string(start.saved.count());
  for (const workers::stop_command& stop : command.stops)
    text += "-" + TextOf(stop.attempt) + (stop.save ? "s" : "");
  for (const workers::attempt_id& ended : command.acknowledged)
    text += "a" + TextOf(ended);
  return text;
}

}  // namespace

std::string model_state::Fingerprint() const {
  std::string text = TextOf(now) + std::to_string(store.epoch) + "," +
                     std::to_string(store.owner) + "," +
                     TextOf(store.session_ends);
  for (const scheduling::event& recorded : store.journal)
    text += shards::internal::ShortTextOf(recorded);
  for (const std::uint64_t writer : store.writers)
    text += std::to_string(writer) + ".";
  for (const scheduler_model& scheduler : schedulers) {
    text += "\nS" + std::to_string(scheduler.epoch) +
            TextOf(scheduler.valid_until) +
            std::to_string(scheduler.journal_seen) +
            (scheduler.in_doubt ? "?" : "");
    if (scheduler.ledger)
      text += scheduler.ledger->Fingerprint();
  }
  for (const worker_model& worker : workers) {
    text += "\nW" + worker.fence.Fingerprint();
    for (const auto& [id, task] : worker.tasks)
      text += TextOf(task.attempt) +
              std::to_string(static_cast<int>(task.state)) +
              std::to_string(task.saved.count());
  }
  for (const delayed_sync& message : network)
    text += "\nN" + std::to_string(message.worker) + TextOf(message.command);
  for (const int budget :
       {left.delayed_messages, left.lost_answers, left.crashes,
        left.worker_restarts, left.evictions, left.cancels, left.ends,
        left.syncs, left.renewals, left.claims}) {
    text += "," + std::to_string(budget);
  }
  for (const workers::attempt_id& attempt : started)
    text += "!" + TextOf(attempt);
  for (const std::string& id : done)
    text += "*" + id;
  return text;
}

namespace {

/// The first owner renews at the last moment; then the second one claims.
void TakeOver(const model_options& options, model_state& state) {
  state.now = state.store.session_ends - milliseconds(1);
  for (int worker = 0; worker < kWorkers; ++worker) {
    const workers::sync_command command =
        state.schedulers[0].ledger->NextSync(WorkerId(worker), true);
    const auto report = Deliver(options, state, worker, command);
    TakeReport(state, 0, worker, command, *report);
  }
  state.now = state.store.session_ends;
  Claim(options, state, 1);
  state.left.claims = 0;
}

}  // namespace

model_state InitialState(const model_options& options) {
  model_state state;
  state.left = {options.delayed_messages,
                options.lost_answers,
                options.crashes,
                options.worker_restarts,
                options.evictions,
                options.cancels,
                options.ends,
                options.syncs,
                options.renewals,
                options.claims};
  Claim(options, state, 0);
  auto& ledger = *state.schedulers[0].ledger;
  for (const char* id : {"a", "b"}) {
    static_cast<void>(ledger.Stage({scheduling::task_accepted{Request(id)}}));
    state.told.insert(id);
  }
  Write(state, 0, write_outcome::kConfirmed);
  if (!options.tasks_run)
    return state;
  // The first syncs introduce the workers, the second ones start the tasks.
  for (int sync = 0; sync < 3; ++sync) {
    if (sync == 2 && options.second_done) {
      state.workers[1].tasks["b"].state = workers::attempt_state::kDone;
      state.done.insert("b");
    }
    for (int worker = 0; worker < kWorkers; ++worker) {
      const workers::sync_command command =
          state.schedulers[0].ledger->NextSync(WorkerId(worker), true);
      const auto report = Deliver(options, state, worker, command);
      TakeReport(state, 0, worker, command, *report);
    }
    Work(options, state, 0, write_outcome::kConfirmed);
  }
  if (options.taken_over)
    TakeOver(options, state);
  return state;
}

std::vector<successor> Successors(const model_options& options,
                                  const model_state& from) {
  return expansion(options, from).All();
}

std::string BrokenRule(const model_state& state) {
  if (!state.broken.empty())
    return state.broken;
  std::map<std::string, int> running;
  for (const worker_model& worker : state.workers) {
    int at_once = 0;
    for (const auto& [id, task] : worker.tasks) {
      if (task.state != workers::attempt_state::kRunning)
        continue;
      ++at_once;
      if (++running[id] > 1)
        return "task " + id + " runs in two places";
    }
    if (at_once > 1)
      return "a worker is committed beyond its capacity";
  }
  for (const workers::attempt_id& attempt : state.started) {
    if (state.started.count(attempt) > 1)
      return "attempt " + TextOf(attempt) + " was started twice";
  }
  const bool restarted = std::any_of(
      state.workers.begin(), state.workers.end(),
      [](const worker_model& worker) { return worker.restarts > 0; });
  for (const std::string& id : state.done) {
    if (state.done.count(id) > 1 && !restarted)
      return "task " + id + " was done twice";
  }
  std::set<std::string> recorded;
  for (const scheduling::event& event : state.store.journal) {
    if (const auto* accepted = std::get_if<scheduling::task_accepted>(&event))
      recorded.insert(accepted->request.id);
  }
  for (const std::string& id : state.told) {
    if (!recorded.contains(id))
      return "accepted task " + id + " was lost";
  }
  return "";
}

}  // namespace chivecrank::model_checker
