#include <absl/flags/flag.h>

#include <atomic>
#include <cstdio>
#include <iostream>
#include <thread>

#include "chivecrank/process/program.h"
#include "chivecrank/process/stop_signal.h"
#include "harness/account_book.h"
#include "harness/caller.h"
#include "harness/deployment.h"

ABSL_FLAG(int, workers, 48, "workers to start");
ABSL_FLAG(int, instances, 7, "system instances to start");
ABSL_FLAG(int, seconds, 12, "how long to send callouts");
ABSL_FLAG(int, jobs, 60, "round plans to submit");
ABSL_FLAG(int, callers, 8, "callers that send callouts at the same time");
ABSL_FLAG(std::string, configuration, "config/tanoa.toml", "operators' file");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the callers' choices");

namespace chivecrank::harness {
namespace {

using steady = std::chrono::steady_clock;

constexpr std::chrono::seconds kJobLimit{90};
constexpr std::chrono::milliseconds kPause{40};
constexpr int kWorkersPerRack = 6;

/// Sends callouts and round plans to a deployment while parts of it die.
class demonstration {
 public:
  demonstration()
      : system_({absl::GetFlag(FLAGS_workers), kWorkersPerRack,
                 absl::GetFlag(FLAGS_instances)}) {}

  /// Returns the exit code of the program.
  int Run() {
    std::cout << "demo: starting " << absl::GetFlag(FLAGS_instances)
              << " instances and " << absl::GetFlag(FLAGS_workers)
              << " workers on loopback" << std::endl;
    if (!system_.Start()) {
      std::cout << "demo: the deployment did not become ready" << std::endl;
      return 1;
    }
    if (system_.Apply(absl::GetFlag(FLAGS_configuration)) != 0) {
      std::cout << "demo: the configuration was refused" << std::endl;
      return 1;
    }
    std::thread plans([this] { RunPlans(); });
    std::vector<std::thread> senders;
    senders.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_callers)));
    for (int i = 0; i < absl::GetFlag(FLAGS_callers); ++i)
      senders.emplace_back([this, i] { SendCallouts(i); });
    ShowAndBreak();
    for (std::thread& sender : senders)
      sender.join();
    plans.join();
    return Finish();
  }

 private:
  caller_options Account(int number) const {
    caller_options options;
    if (number % 2 == 1) {
      options.account = "ridge-hospital";
      options.token = "ridge-hospital-token";
    }
    return options;
  }

  void SendCallouts(int number) {
    caller by(system_.Entries(), Account(number),
              absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(number));
    for (int sent = 0; !stopping_; ++sent) {
      account_.Add(
          by.SendCallout(std::to_string(number) + "-" + std::to_string(sent)));
      std::this_thread::sleep_for(kPause);
    }
  }

  void RunPlans() {
    caller by(system_.Entries(), {}, absl::GetFlag(FLAGS_seed));
    std::vector<std::string> accepted;
    accepted.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_jobs)));
    for (int i = 0; i < absl::GetFlag(FLAGS_jobs); ++i)
      accepted.push_back(SubmitUntilAccepted(by, i));
    const auto end = steady::now() + kJobLimit;
    for (const std::string& job : accepted) {
      bool done = false;
      while (!done && steady::now() < end) {
        done = by.JobState(job) == "done";
        if (!done)
          std::this_thread::sleep_for(kPause);
      }
      done_ += done ? 1 : 0;
      account_.AddJob(job, done);
    }
  }

  static std::string SubmitUntilAccepted(caller& by, int number) {
    const auto end = steady::now() + kJobLimit;
    std::string job;
    while (job.empty() && steady::now() < end) {
      job = by.SubmitJob("round-plan", "plan-" + std::to_string(number));
      if (job.empty())
        std::this_thread::sleep_for(kPause);
    }
    return job;
  }

  void ShowAndBreak() {
    const int seconds = absl::GetFlag(FLAGS_seconds);
    std::cout << "second  requests  jobs done  event" << std::endl;
    for (int second = 1; second <= seconds; ++second) {
      std::this_thread::sleep_for(std::chrono::seconds(1));
      std::string event;
      if (second == seconds / 3) {
        system_.KillInstance(absl::GetFlag(FLAGS_instances) - 1);
        event = "killed one instance";
      }
      if (second == seconds / 2) {
        system_.KillWorker(0);
        event = "killed one worker";
      }
      std::printf("%6d  %8zu  %9d  %s\n", second, account_.size(), done_.load(),
                  event.c_str());
      std::fflush(stdout);
    }
    stopping_ = true;
  }

  int Finish() {
    const account_totals totals =
        account_.Compare(system_.RequestRuns(), system_.TaskRuns());
    for (const std::string& worker : system_.OvercommittedWorkers())
      std::cout << "demo: overcommitted: " << worker << "\n";
    std::cout << Describe(totals) << std::endl;
    return totals.lost == 0 && totals.doubled == 0 ? 0 : 1;
  }

  deployment system_;
  account_book account_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> done_ = 0;
};

}  // namespace
}  // namespace chivecrank::harness

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("chivecrank_demo",
                      "Shows a deployment at work while parts of it die.", argc,
                      argv);
  // Ctrl-C ends the program at once, and the processes it started with it.
  process::RestoreStopSignals();
  return harness::demonstration().Run();
}
