#include "chivecrank/idempotency/home_router.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace chivecrank::idempotency {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{20};
/// An outcome that no home accepts for this long is dropped. The key then
/// counts as unknown.
constexpr std::chrono::milliseconds kReportTimeout{15'000};

}  // namespace

home_router::home_router(entry_identity self,
                         home_settings settings,
                         base::clock& clock,
                         home_manager& homes,
                         home_client& peers)
    : self_(std::move(self)),
      settings_(settings),
      clock_(clock),
      homes_(homes),
      peers_(peers),
      reporting_thread_([this] { RunReporting(); }) {}

home_router::~home_router() {
  Stop(std::chrono::milliseconds(0));
}

void home_router::Stop(std::chrono::milliseconds limit) {
  const base::time_point end = clock_.Now() + limit;
  std::unique_lock held(mutex_);
  while (!pending_outcomes_.empty() && clock_.Now() < end)
    changed_.wait_for(held, kRetryInterval);
  stopping_ = true;
  held.unlock();
  changed_.notify_all();
  if (reporting_thread_.joinable())
    reporting_thread_.join();
}

decision home_router::Admit(arrival& request, base::time_point deadline) {
  request.token = self_.run + "/" + std::to_string(++arrival_count_);
  bool may_be_admitted = false;
  while (true) {
    const auto remaining = TimeUntil(deadline);
    if (remaining.count() <= 0)
      break;
    const auto answer = AskHome(
        request, {remaining, std::min(remaining, settings_.poll_timeout)});
    if (answer.has_value()) {
      if (answer.value().verdict != verdict::kPending)
        return answer.value();
      may_be_admitted = true;
      continue;
    }
    may_be_admitted |= answer.error().kind == base::error_kind::kOutcomeUnknown;
    clock_.SleepUntil(clock_.Now() + kRetryInterval);
  }
  if (may_be_admitted) {
    Finish({log_entry_kind::kWithdrawn,
            request.request_id,
            request.fingerprint,
            request.token,
            {}});
  }
  // For a repeat, an earlier attempt may have run without this entry knowing.
  return {request.is_first_attempt ? verdict::kRefused : verdict::kUnknown, {}};
}

base::result<decision> home_router::AskHome(const arrival& request,
                                            time_limits limits) {
  const home_location home = homes_.Locate(PartitionOf(request.request_id));
  if (home.local)
    return home.local->Begin(request, limits);
  if (home.entry)
    return peers_.Begin(*home.entry, request, limits);
  return base::error{base::error_kind::kUnavailable, "the key has no home yet",
                     "try again"};
}

void home_router::Finish(const log_entry& outcome) {
  const auto home = homes_.Locate(PartitionOf(outcome.request_id)).local;
  if (home && home->Finish(outcome).has_value())
    return;
  {
    std::lock_guard held(mutex_);
    pending_outcomes_.push_back({outcome, clock_.Now() + kReportTimeout});
  }
  changed_.notify_all();
}

base::result<key_report> home_router::Describe(const std::string& request_id,
                                               base::time_point deadline) {
  base::error failure{base::error_kind::kUnavailable,
                      "the home of the key can't be reached",
                      "ask again, or through another entry"};
  while (clock_.Now() < deadline) {
    const home_location home = homes_.Locate(PartitionOf(request_id));
    if (home.local || home.entry) {
      auto report = home.local ? home.local->Describe(request_id)
                               : peers_.Describe(*home.entry, request_id);
      if (report.has_value())
        return report;
    }
    clock_.SleepUntil(clock_.Now() + kRetryInterval);
  }
  return failure;
}

base::result<void> home_router::SendOutcome(const log_entry& outcome) {
  const home_location home = homes_.Locate(PartitionOf(outcome.request_id));
  if (home.local)
    return home.local->Finish(outcome);
  if (home.entry)
    return peers_.Finish(*home.entry, outcome);
  return base::error{base::error_kind::kUnavailable, "the key has no home yet",
                     "try again"};
}

void home_router::RunReporting() {
  std::unique_lock held(mutex_);
  while (!stopping_) {
    if (pending_outcomes_.empty()) {
      changed_.wait_for(held, kRetryInterval * 10);
      continue;
    }
    const pending_outcome next = pending_outcomes_.front();
    held.unlock();
    const bool done = SendOutcome(next.outcome).has_value() ||
                      clock_.Now() >= next.give_up_at;
    held.lock();
    pending_outcomes_.pop_front();
    if (!done) {
      pending_outcomes_.push_back(next);
      changed_.wait_for(held, kRetryInterval);
    }
  }
}

std::chrono::milliseconds home_router::TimeUntil(
    base::time_point deadline) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline -
                                                               clock_.Now());
}

}  // namespace chivecrank::idempotency
