#include "chivecrank/idempotency/home_router.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace chivecrank::idempotency {
namespace {

constexpr std::chrono::milliseconds kRetry{20};
/// An end that no home takes for this long is dropped; the key then counts as
/// unknown.
constexpr std::chrono::milliseconds kReportLimit{15'000};

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
      reporting_([this] { RunReports(); }) {}

home_router::~home_router() {
  Stop(std::chrono::milliseconds(0));
}

void home_router::Stop(std::chrono::milliseconds limit) {
  const base::time_point end = clock_.Now() + limit;
  std::unique_lock held(mutex_);
  while (!waiting_.empty() && clock_.Now() < end)
    changed_.wait_for(held, kRetry);
  stopping_ = true;
  held.unlock();
  changed_.notify_all();
  if (reporting_.joinable())
    reporting_.join();
}

decision home_router::Admit(arrival& request, base::time_point deadline) {
  request.token = self_.run + "/" + std::to_string(++arrivals_);
  bool may_be_admitted = false;
  while (true) {
    const auto remaining = Until(deadline);
    if (remaining.count() <= 0)
      break;
    const auto answer =
        Ask(request, {remaining, std::min(remaining, settings_.poll_timeout)});
    if (answer.has_value()) {
      if (answer.value().verdict != verdict::kPending)
        return answer.value();
      may_be_admitted = true;
      continue;
    }
    may_be_admitted |= answer.error().kind == base::error_kind::kOutcomeUnknown;
    clock_.SleepUntil(clock_.Now() + kRetry);
  }
  if (may_be_admitted) {
    Finish({log_entry_kind::kWithdrawn,
            request.request_id,
            request.fingerprint,
            request.token,
            {}});
  }
  // A repeat may have run where this entry has not heard from.
  return {request.is_first_attempt ? verdict::kRefused : verdict::kUnknown, {}};
}

base::result<decision> home_router::Ask(const arrival& request,
                                        time_limits limits) {
  const home_location home = homes_.Locate(PartitionOf(request.request_id));
  if (home.local)
    return home.local->Begin(request, limits);
  if (home.entry)
    return peers_.Begin(*home.entry, request, limits);
  return base::error{base::error_kind::kUnavailable, "the key has no home yet",
                     "try again"};
}

void home_router::Finish(const log_entry& ended) {
  const auto home = homes_.Locate(PartitionOf(ended.request_id)).local;
  if (home && home->Finish(ended).has_value())
    return;
  {
    std::lock_guard held(mutex_);
    waiting_.push_back({ended, clock_.Now() + kReportLimit});
  }
  changed_.notify_all();
}

base::result<key_report> home_router::Describe(const std::string& request_id,
                                               base::time_point deadline) {
  base::error failure{base::error_kind::kUnavailable,
                      "the home of the key is not reached",
                      "ask again, or through another entry"};
  while (clock_.Now() < deadline) {
    const home_location home = homes_.Locate(PartitionOf(request_id));
    if (home.local || home.entry) {
      auto report = home.local ? home.local->Describe(request_id)
                               : peers_.Describe(*home.entry, request_id);
      if (report.has_value())
        return report;
    }
    clock_.SleepUntil(clock_.Now() + kRetry);
  }
  return failure;
}

base::result<void> home_router::Report(const log_entry& ended) {
  const home_location home = homes_.Locate(PartitionOf(ended.request_id));
  if (home.local)
    return home.local->Finish(ended);
  if (home.entry)
    return peers_.Finish(*home.entry, ended);
  return base::error{base::error_kind::kUnavailable, "the key has no home yet",
                     "try again"};
}

void home_router::RunReports() {
  std::unique_lock held(mutex_);
  while (!stopping_) {
    if (waiting_.empty()) {
      changed_.wait_for(held, kRetry * 10);
      continue;
    }
    const waiting_end next = waiting_.front();
    held.unlock();
    const bool done =
        Report(next.ended).has_value() || clock_.Now() >= next.give_up;
    held.lock();
    waiting_.pop_front();
    if (!done) {
      waiting_.push_back(next);
      changed_.wait_for(held, kRetry);
    }
  }
}

std::chrono::milliseconds home_router::Until(base::time_point deadline) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline -
                                                               clock_.Now());
}

}  // namespace chivecrank::idempotency
