#include "integration/request_load.h"

#include <sstream>
#include <utility>

namespace chivecrank::harness {
namespace {

constexpr int kCallers = 16;
constexpr std::chrono::milliseconds kPause{15};
constexpr std::chrono::milliseconds kTimeout{6000};
constexpr std::chrono::milliseconds kRepeatAfter{1200};

std::string DescribeTries(const call_record& record) {
  std::ostringstream text;
  text << record.identifier << ", ended at " << record.ended_at_ms << " ms";
  for (const call_try& sent : record.tries)
    text << "\n  after " << sent.sent_after.count() << " ms to "
         << settings::ToString(sent.entry) << ": "
         << callers::RequestOutcomeName(sent.outcome) << " in "
         << sent.took.count() << " ms, " << sent.answer;
  return text.str();
}

}  // namespace

std::string Describe(const load_account& account) {
  std::ostringstream text;
  text << "completed " << account.completed << ", not run " << account.not_run
       << ", unknown " << account.unknown << ", cut off " << account.cut_off
       << ", run twice " << account.run_twice << ", wrong answers "
       << account.wrong_answers << ", completed without run "
       << account.completed_without_run << ", not run that ran "
       << account.not_run_that_ran;
  return text.str();
}

request_load::request_load(const std::vector<instance_addresses>& instances,
                           std::uint64_t seed)
    : balancer_(instances), entries_(EntriesOf(instances)), seed_(seed) {}

request_load::~request_load() {
  Stop();
}

void request_load::Start() {
  for (int number = 0; number < kCallers; ++number)
    threads_.emplace_back([this, number] { Send(number); });
}

void request_load::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

void request_load::Send(int number) {
  caller_options options;
  options.timeout = kTimeout;
  options.repeat_after = kRepeatAfter;
  caller by(entries_, options,
            seed_ * 1000 + static_cast<std::uint64_t>(number),
            [this](const auto& entry) { return balancer_.SendsTo(entry); });
  for (int sent = 0; !stopping_; ++sent) {
    call_record record =
        by.SendCallout(std::to_string(number) + "-" + std::to_string(sent));
    {
      std::lock_guard lock(mutex_);
      records_.push_back(std::move(record));
    }
    std::this_thread::sleep_for(kPause);
  }
}

load_account request_load::Account(
    const std::map<std::string, std::int64_t>& runs) const {
  load_account account;
  for (const auto& [identifier, count] : runs)
    account.run_twice += count > 1 ? 1 : 0;
  std::lock_guard lock(mutex_);
  for (const call_record& record : records_) {
    const bool ran = runs.contains(record.identifier);
    account.wrong_answers += record.wrong_answer ? 1 : 0;
    account.cut_off += record.cut_off ? 1 : 0;
    if (record.outcome != callers::request_outcome::kCompleted)
      account.open_tries.push_back(DescribeTries(record));
    switch (record.outcome) {
      case callers::request_outcome::kCompleted:
        ++account.completed;
        account.completed_without_run += ran ? 0 : 1;
        break;
      case callers::request_outcome::kNotRun:
        ++account.not_run;
        account.not_run_that_ran += ran ? 1 : 0;
        break;
      case callers::request_outcome::kUnknown:
        ++account.unknown;
        break;
    }
  }
  return account;
}

}  // namespace chivecrank::harness
