#include "simulation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "chivecrank/scheduling/resources.h"

namespace chivecrank::bench {
namespace {

using scheduling::attempt_outcome;
using scheduling::task_kind;

constexpr elapsed kRound{200};
constexpr elapsed kTaskLease{6000};
constexpr elapsed kClockMargin{1000};
constexpr elapsed kSampleInterval{5000};
constexpr elapsed kSampleLag{10'000};
constexpr double kSampleNoise = 0.1;
constexpr double kLateInflation = 2.0;
constexpr std::size_t kCancelEvery = 3;

double Percentile99(std::vector<double> values) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[(values.size() - 1) * 99 / 100];
}

coordination::resources Scaled(const coordination::resources& size, double by) {
  const auto scaled = [by](std::int64_t value) {
    return static_cast<std::int64_t>(static_cast<double>(value) * by);
  };
  return {scaled(size.processors_milli), scaled(size.memory_mib),
          size.accelerators};
}

bool IsAt(const scheduling::worker_view& worker, const std::string& place) {
  return worker.rack == place || worker.failure_domain == place;
}

}  // namespace

simulation::simulation(const scenario& played,
                       std::unique_ptr<scheduling::planner> policy,
                       std::uint64_t seed)
    : scenario_(played), planner_(std::move(policy)), random_(seed) {
  for (const scheduling::worker_view& view :
       MakeWorkers(scenario_.racks_per_domain)) {
    const auto& bad = scenario_.bad_workers;
    const bool is_bad = std::find(bad.begin(), bad.end(), view.id) != bad.end();
    links_.emplace(view.id, link{fake_worker(view, is_bad)});
  }
}

outcome simulation::Run() {
  AcceptServices();
  PlanRound();
  for (; now_ < elapsed(kNight); now_ += kRound) {
    AcceptArrivals();
    StartOutages();
    CancelSome();
    HearWorkers();
    DeliverSamples();
    PlanRound();
    if (now_.count() % kSampleInterval.count() == 0)
      SampleServices();
    CheckLimits();
  }
  return Judge();
}

base::wall_time simulation::Wall(elapsed at) const {
  // Midnight of some day; the epoch itself means "no due time".
  return base::wall_time(std::chrono::hours(24)) + at;
}

void simulation::Record(const scheduling::event& recorded) {
  const auto applied = state_.Apply(recorded);
  if (!applied.has_value()) {
    std::fprintf(stderr, "%s\n", base::Describe(applied.error()).c_str());
    std::abort();
  }
  planner_->Observe(recorded, state_, Wall(now_));
}

void simulation::Accept(scheduling::task_request request) {
  Record(scheduling::task_accepted{std::move(request)});
}

void simulation::AcceptServices() {
  for (const service_truth& service : scenario_.services) {
    for (int replica = 0; replica < service.replicas; ++replica) {
      scheduling::task_request request;
      request.id = service.name + "-" + std::to_string(replica);
      request.template_name = service.name;
      request.demand = service.size;
      request.kind = task_kind::kService;
      request.attempt_limit = 1000;
      Accept(std::move(request));
    }
  }
}

scheduling::task_request simulation::RequestOf(const arrival& arrived) {
  const batch_truth& truth = *FindBatch(scenario_, arrived.template_name);
  scheduling::task_request request;
  request.id =
      (arrived.nightly ? "night-" : "job-") + std::to_string(next_arrival_);
  request.account = arrived.team + "-account";
  request.team = arrived.team;
  request.template_name = truth.name;
  request.demand = Scaled(truth.size, truth.declared_ratio);
  request.run_time = std::chrono::duration_cast<std::chrono::milliseconds>(
      truth.run_time * truth.declared_ratio);
  request.urgent = arrived.urgent;
  request.attempt_limit = 3;
  request.checkpoints = truth.checkpoints;
  request.gang = arrived.gang;
  request.gang_size = arrived.gang_size;
  if (arrived.nightly)
    request.due = Wall(kNight);
  return request;
}

void simulation::AcceptArrivals() {
  const auto& arrivals = scenario_.arrivals;
  while (next_arrival_ < arrivals.size() &&
         arrivals[next_arrival_].at <= now_) {
    const arrival& arrived = arrivals[next_arrival_];
    scheduling::task_request request = RequestOf(arrived);
    if (arrived.urgent)
      urgent_accepted_[request.id] = now_;
    if (arrived.nightly)
      ++nightly_;
    Accept(std::move(request));
    ++next_arrival_;
  }
}

void simulation::StartOutages() {
  for (const outage& known : scenario_.outages) {
    for (auto& [id, hit] : links_) {
      if (!IsAt(hit.worker.view(), known.place))
        continue;
      const bool out = now_ >= known.from && now_ < known.to;
      if (out && hit.worker.reachable && known.dies)
        hit.worker.Die();
      hit.worker.reachable = !out;
    }
  }
}

void simulation::CancelSome() {
  const auto& times = scenario_.cancellations;
  if (next_cancellation_ >= times.size() || now_ < times[next_cancellation_])
    return;
  ++next_cancellation_;
  std::vector<std::string> chosen;
  std::size_t number = 0;
  for (const auto& [id, known] : state_.tasks()) {
    if (known.request.kind == task_kind::kService || known.request.urgent ||
        !known.request.gang.empty() || scheduling::IsFinal(known.state)) {
      continue;
    }
    if (number++ % kCancelEvery == 0)
      chosen.push_back(id);
  }
  for (const std::string& id : chosen) {
    if (state_.Find(id)->request.due != base::wall_time{})
      --nightly_;
    const std::string worker = state_.Find(id)->worker_id;
    Record(scheduling::task_cancelled{id});
    if (!worker.empty())
      links_.at(worker).worker.Stop(id, now_);
  }
}

void simulation::HearWorkers() {
  for (auto& [id, heard] : links_) {
    heard.worker.Advance(now_, kRound, scenario_.bad_template);
    if (!heard.worker.reachable) {
      if (now_ > heard.last_heard + kTaskLease + kClockMargin)
        RecordLost(heard);
      continue;
    }
    heard.last_heard = now_;
    heard.worker.Renew(now_ + kTaskLease);
    for (const fake_end& ended : heard.worker.TakeEnded())
      RecordEnd(ended);
    const std::set<std::string> open = state_.OpenTasksOn(id);
    for (const std::string& task_id : open) {
      const scheduling::task& known = *state_.Find(task_id);
      if (known.state == scheduling::task_state::kStarting ||
          known.state == scheduling::task_state::kResuming) {
        Record(scheduling::attempt_confirmed{task_id, known.attempt});
      }
    }
  }
}

void simulation::RecordEnd(const fake_end& ended) {
  outcome_.lost_work_s += ended.lost_s;
  const scheduling::task& known = *state_.Find(ended.task_id);
  if (known.attempt != ended.attempt || known.worker_id.empty())
    return;
  if (!ended.usage.template_name.empty())
    planner_->Observe(ended.usage);
  const bool cancelled = known.state == scheduling::task_state::kCancelled;
  if (ended.outcome == attempt_outcome::kDone && !cancelled &&
      known.request.kind == task_kind::kBatch) {
    ++batch_done_;
    nightly_done_ += known.request.due != base::wall_time{} ? 1 : 0;
  }
  Record(scheduling::attempt_ended{
      ended.task_id, ended.attempt, ended.outcome,
      std::chrono::milliseconds(
          static_cast<std::int64_t>(ended.saved_s * 1000))});
}

void simulation::RecordLost(link& lost) {
  const std::set<std::string> open = state_.OpenTasksOn(lost.worker.view().id);
  for (const std::string& task_id : open) {
    Record(scheduling::attempt_ended{task_id, state_.Find(task_id)->attempt,
                                     attempt_outcome::kLost});
  }
}

void simulation::PlanRound() {
  std::vector<scheduling::worker_view> ready;
  for (const auto& [id, known] : links_) {
    if (known.worker.reachable)
      ready.push_back(known.worker.view());
  }
  const auto before = std::chrono::steady_clock::now();
  const auto planned = planner_->Plan(state_, ready, Wall(now_));
  decision_time_ += std::chrono::steady_clock::now() - before;
  decisions_ += static_cast<std::int64_t>(planned.size());
  for (const scheduling::event& next : planned) {
    Record(next);
    CarryOut(next);
  }
}

void simulation::CarryOut(const scheduling::event& planned) {
  if (const auto* start = std::get_if<scheduling::attempt_started>(&planned)) {
    StartAttempt(*start);
    return;
  }
  if (const auto* throttled =
          std::get_if<scheduling::attempt_throttled>(&planned)) {
    links_.at(state_.Find(throttled->task_id)->worker_id)
        .worker.Throttle(throttled->task_id, throttled->throttled);
    return;
  }
  if (const auto* stopped =
          std::get_if<scheduling::checkpoint_ordered>(&planned)) {
    ++outcome_.evictions;
    links_.at(state_.Find(stopped->task_id)->worker_id)
        .worker.Checkpoint(stopped->task_id, now_, stopped->grace);
    return;
  }
  if (std::holds_alternative<scheduling::task_parked>(planned))
    ++outcome_.parked;
}

void simulation::StartAttempt(const scheduling::attempt_started& start) {
  const scheduling::task& known = *state_.Find(start.task_id);
  const double saved_s =
      std::chrono::duration<double>(known.saved_run_time).count();
  fake_attempt attempt;
  attempt.request = known.request;
  attempt.attempt = start.attempt;
  attempt.granted = known.granted;
  attempt.truth = FindBatch(scenario_, known.request.template_name);
  attempt.done_s = attempt.saved_s = attempt.began_s = saved_s;
  attempt.started = now_;
  attempt.lease_ends = now_ + kTaskLease;
  links_.at(start.worker_id).worker.Start(std::move(attempt));
  const auto urgent = urgent_accepted_.find(start.task_id);
  if (urgent == urgent_accepted_.end())
    return;
  const std::chrono::duration<double> waited = now_ - urgent->second;
  urgent_starts_s_.push_back(waited.count());
  urgent_accepted_.erase(urgent);
}

void simulation::SampleServices() {
  std::lognormal_distribution<double> noise(0, kSampleNoise);
  std::map<std::string, int> replicas;
  for (const auto& [id, known] : links_) {
    for (const auto& [task_id, attempt] : known.worker.running())
      ++replicas[attempt.request.template_name];
  }
  for (const auto& [id, known] : links_) {
    for (const scheduling::usage_sample& usage : known.worker.Usage())
      planner_->Observe(usage);
    const auto exposures = known.worker.Exposures();
    for (const auto& [task_id, attempt] : known.worker.running()) {
      if (attempt.truth != nullptr)
        continue;
      const std::string& name = attempt.request.template_name;
      const service_truth& truth = *FindService(scenario_, name);
      const double spread =
          static_cast<double>(truth.replicas) / replicas[name];
      const double load = std::min(1.0, LoadAt(scenario_, name, now_) * spread);
      double inflation = 1;
      for (const auto& [batch, share] : exposures) {
        const auto slope = truth.slopes.find(batch);
        if (slope != truth.slopes.end())
          inflation += slope->second * share * load;
      }
      inflations_.push_back(inflation);
      // The window is short, so that the truth at its end stands for it.
      samples_.push_back({now_ + kSampleLag,
                          {id, name, Wall(now_ - kRound), Wall(now_),
                           inflation * noise(random_), load}});
    }
  }
}

void simulation::DeliverSamples() {
  while (!samples_.empty() && samples_.front().arrives <= now_) {
    planner_->Observe(samples_.front().sample);
    samples_.pop_front();
  }
}

void simulation::CheckLimits() {
  std::map<std::string, int> copies;
  for (const auto& [id, known] : links_) {
    coordination::resources granted;
    for (const auto& [task_id, attempt] : known.worker.running()) {
      granted = scheduling::Plus(granted, attempt.granted);
      ++copies[task_id];
    }
    const coordination::resources& capacity = known.worker.view().capacity;
    if (!scheduling::IsWithin(granted, capacity) ||
        !scheduling::IsWithin(state_.CommittedOn(id), capacity)) {
      ++outcome_.overcommitted;
    }
  }
  for (const auto& [task_id, count] : copies)
    outcome_.double_runs += count > 1 ? 1 : 0;
}

outcome simulation::Judge() {
  for (const auto& [id, accepted] : urgent_accepted_) {
    const std::chrono::duration<double> waited = now_ - accepted;
    urgent_starts_s_.push_back(waited.count());
  }
  const std::chrono::duration<double, std::ratio<3600>> night = kNight;
  const auto late =
      std::count_if(inflations_.begin(), inflations_.end(),
                    [](double value) { return value > kLateInflation; });
  outcome_.service_p99_inflation = Percentile99(inflations_);
  outcome_.service_late_ratio =
      static_cast<double>(late) / static_cast<double>(inflations_.size());
  outcome_.batch_done_per_hour =
      static_cast<double>(batch_done_) / night.count();
  outcome_.finished_by_morning =
      static_cast<double>(nightly_done_) / static_cast<double>(nightly_);
  outcome_.nightly_missed = nightly_ - nightly_done_;
  outcome_.urgent_start_p99_s = Percentile99(urgent_starts_s_);
  const std::chrono::duration<double, std::micro> spent = decision_time_;
  outcome_.us_per_decision =
      spent.count() /
      static_cast<double>(std::max<std::int64_t>(1, decisions_));
  return outcome_;
}

}  // namespace chivecrank::bench
