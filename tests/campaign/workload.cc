#include "workload.h"

#include <utility>

namespace chivecrank::harness {
namespace {

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCalloutPause{30};
constexpr std::chrono::milliseconds kJobPause{150};
/// A caller without an answer by then sends the same key to another entry.
constexpr std::chrono::milliseconds kRepeatAfter{800};
constexpr std::chrono::milliseconds kPoll{100};
constexpr char kShortJob[] = "round-plan";
constexpr char kLongJob[] = "site-survey";

bool HasEnded(const std::string& state) {
  return state == "done" || state == "failed" || state == "cancelled" ||
         state == "parked";
}

}  // namespace

workload::workload(const std::vector<instance_addresses>& instances,
                   int callers,
                   std::uint64_t seed)
    : balancer_(instances),
      entries_(EntriesOf(instances)),
      callers_(callers),
      seed_(seed) {}

workload::~workload() {
  Stop();
}

void workload::Start() {
  for (int number = 0; number < callers_; ++number)
    threads_.emplace_back([this, number] { SendCallouts(number); });
  threads_.emplace_back([this] { SubmitJobs(); });
}

void workload::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

caller_options workload::AccountOf(int number) const {
  caller_options options;
  options.repeat_after = kRepeatAfter;
  if (number % 2 == 1) {
    options.account = "ridge-hospital";
    options.token = "ridge-hospital-token";
  }
  return options;
}

void workload::SendCallouts(int number) {
  caller by(entries_, AccountOf(number),
            seed_ * 1000 + static_cast<std::uint64_t>(number),
            [this](const auto& entry) { return balancer_.SendsTo(entry); });
  for (int sent = 0; !stopping_; ++sent) {
    call_record record =
        by.SendCallout(std::to_string(number) + "-" + std::to_string(sent));
    {
      std::lock_guard lock(mutex_);
      calls_.push_back(std::move(record));
    }
    std::this_thread::sleep_for(kCalloutPause);
  }
}

void workload::SubmitJobs() {
  caller by(entries_, {}, seed_);
  for (int number = 0; !stopping_; ++number) {
    const std::string key = "plan-" + std::to_string(number);
    std::string job;
    while (job.empty() && !stopping_) {
      job = by.SubmitJob(number % 2 == 0 ? kShortJob : kLongJob, key);
      if (job.empty())
        std::this_thread::sleep_for(kPoll);
    }
    if (job.empty())
      return;
    {
      std::lock_guard lock(mutex_);
      jobs_[job] = {job, false, ""};
    }
    std::this_thread::sleep_for(kJobPause);
  }
}

void workload::CancelSome(int count) {
  std::vector<std::string> chosen;
  {
    std::lock_guard lock(mutex_);
    for (auto at = jobs_.rbegin(); at != jobs_.rend() && count > 0; ++at) {
      if (at->second.cancelled || HasEnded(at->second.last_state))
        continue;
      chosen.push_back(at->first);
      --count;
    }
  }
  caller by(entries_, {}, seed_ + 1);
  for (const std::string& job : chosen) {
    if (!by.CancelJob(job))
      continue;
    std::lock_guard lock(mutex_);
    jobs_[job].cancelled = true;
  }
}

void workload::WaitForJobs(std::chrono::seconds limit) {
  caller by(entries_, {}, seed_ + 2);
  const steady::time_point end = steady::now() + limit;
  for (const submitted_job& job : Jobs()) {
    std::string state = job.last_state;
    while (!HasEnded(state) && steady::now() < end) {
      state = by.JobState(job.id);
      if (!HasEnded(state))
        std::this_thread::sleep_for(kPoll);
    }
    std::lock_guard lock(mutex_);
    jobs_[job.id].last_state = state;
  }
}

std::vector<call_record> workload::Calls() {
  std::lock_guard lock(mutex_);
  return calls_;
}

std::vector<submitted_job> workload::Jobs() {
  std::lock_guard lock(mutex_);
  std::vector<submitted_job> all;
  for (const auto& [id, job] : jobs_)
    all.push_back(job);
  return all;
}

}  // namespace chivecrank::harness
