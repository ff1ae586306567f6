#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <thread>

#include "harness/deployment.h"
#include "integration/request_load.h"

namespace chivecrank::harness {
namespace {

constexpr int kEntries = 7;
constexpr std::chrono::milliseconds kCalm{1500};
constexpr std::chrono::milliseconds kFault{3000};
constexpr char kStoreDown[] = R"({"down":true})";
constexpr char kStoreSlow[] = R"({"delay_ms":700})";
constexpr char kStoreLoses[] = R"({"lost_answers":0.4})";
constexpr char kCuts[] =
    R"({"to_server":{"truncate":0.02,"reset":0.05,"drop":0.02},
        "to_client":{"truncate":0.1,"reset":0.05,"drop":0.05}})";
constexpr char kDisorder[] =
    R"({"to_client":{"delay_ms":20,"duplicate":0.1,"reorder":0.1}})";
constexpr char kSilence[] =
    R"({"to_server":{"silence":0.02},"to_client":{"silence":0.02}})";
constexpr char kStoreWell[] = "{}";
const std::string kConfiguration =
    std::string(CHIVECRANK_SOURCE_DIR) + "/config/tanoa.toml";

/// A deployment under load, and the faults that a test causes.
struct fixture {
  fixture() : system(Options()) {
    BOOST_REQUIRE(system.Start());
    BOOST_REQUIRE(system.Apply(kConfiguration) == 0);
    std::this_thread::sleep_for(kCalm);
  }

  static deployment_options Options() {
    deployment_options options;
    options.instances = kEntries;
    options.proxied = true;
    return options;
  }

  void KillEntry(int index) { system.KillInstance(index); }
  void SignalEntry(int index, int number) {
    for (child_process* process : system.ProcessesOf(index))
      process->Signal(number);
  }
  void SignalWorker(int index, int number) {
    system.WorkerProcess(index)->Signal(number);
  }
  void SetStore(const char* faults) { system.SetPlatformFaults(faults); }

  /// Loads the system, causes a fault for a while, ends it, and checks the
  /// accounts of the callers and of the upstreams.
  load_account Run(const std::function<void()>& cause,
                   const std::function<void()>& end) {
    request_load load(system.Instances(), 1);
    load.Start();
    std::this_thread::sleep_for(kCalm);
    cause();
    std::this_thread::sleep_for(kFault);
    end();
    std::this_thread::sleep_for(kCalm);
    load.Stop();
    load_account account = load.Account(system.RequestRuns());
    BOOST_TEST_MESSAGE(Describe(account));
    for (const std::string& tries : account.open_tries)
      BOOST_TEST_MESSAGE("not completed: " << tries);
    BOOST_TEST_MESSAGE(system.PlatformCalls());
    BOOST_TEST(account.completed > 0);
    BOOST_TEST(account.run_twice == 0);
    BOOST_TEST(account.wrong_answers == 0);
    BOOST_TEST(account.completed_without_run == 0);
    BOOST_TEST(account.not_run_that_ran == 0);
    return account;
  }

  deployment system;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(requests_suite, fixture)

BOOST_AUTO_TEST_CASE(EntryKilled) {
  Run([&] { KillEntry(2); }, [&] { system.StartInstance(2); });
}

BOOST_AUTO_TEST_CASE(EntryPaused) {
  Run([&] { SignalEntry(3, SIGSTOP); }, [&] { SignalEntry(3, SIGCONT); });
}

BOOST_AUTO_TEST_CASE(UpstreamPaused) {
  Run([&] { SignalWorker(1, SIGSTOP); }, [&] { SignalWorker(1, SIGCONT); });
}

BOOST_AUTO_TEST_CASE(TheAccountOfAPausedUpstreamIsWaitedFor) {
  Run([] {}, [] {});
  const auto runs = system.RequestRuns();
  SignalWorker(1, SIGSTOP);
  std::jthread resume([this] {
    std::this_thread::sleep_for(kFault);
    SignalWorker(1, SIGCONT);
  });
  const bool is_whole = system.RequestRuns() == runs;
  resume.join();
  BOOST_TEST(is_whole);
}

BOOST_AUTO_TEST_CASE(UpstreamKilled) {
  Run([&] { system.KillWorker(1); }, [&] { system.StartWorker(1); });
}

BOOST_AUTO_TEST_CASE(CalloutsGoOutWhileTheStoreIsDown) {
  const load_account account =
      Run([&] { SetStore(kStoreDown); }, [&] { SetStore(kStoreWell); });
  BOOST_TEST(account.unknown == 0);
  BOOST_TEST(account.not_run == 0);
}

BOOST_AUTO_TEST_CASE(StoreSlow) {
  Run([&] { SetStore(kStoreSlow); }, [&] { SetStore(kStoreWell); });
}

BOOST_AUTO_TEST_CASE(StoreLosesAnswers) {
  Run([&] { SetStore(kStoreLoses); }, [&] { SetStore(kStoreWell); });
}

BOOST_AUTO_TEST_CASE(EntryKilledWhileTheStoreIsDown) {
  Run(
      [&] {
        SetStore(kStoreDown);
        std::this_thread::sleep_for(kCalm);
        KillEntry(1);
      },
      [&] { SetStore(kStoreWell); });
}

BOOST_AUTO_TEST_CASE(EntryPausedWhileTheStoreIsDown) {
  Run(
      [&] {
        SetStore(kStoreDown);
        SignalEntry(4, SIGSTOP);
      },
      [&] {
        SetStore(kStoreWell);
        SignalEntry(4, SIGCONT);
      });
}

BOOST_AUTO_TEST_CASE(EntryKilledWhileTheStoreLosesAnswers) {
  Run(
      [&] {
        SetStore(kStoreLoses);
        KillEntry(5);
      },
      [&] { SetStore(kStoreWell); });
}

BOOST_AUTO_TEST_CASE(EntryAndUpstreamPaused) {
  Run(
      [&] {
        SignalEntry(6, SIGSTOP);
        SignalWorker(0, SIGSTOP);
      },
      [&] {
        SignalWorker(0, SIGCONT);
        SignalEntry(6, SIGCONT);
      });
}

BOOST_AUTO_TEST_CASE(AnswersCutAndConnectionsReset) {
  Run([&] { system.SetProxyFaults(kCuts); },
      [&] { system.SetProxyFaults("{}"); });
}

BOOST_AUTO_TEST_CASE(AnswersDelayedTwiceAndOutOfOrder) {
  Run([&] { system.SetProxyFaults(kDisorder); },
      [&] { system.SetProxyFaults("{}"); });
}

BOOST_AUTO_TEST_CASE(ConnectionsGoSilent) {
  Run([&] { system.SetProxyFaults(kSilence); },
      [&] { system.SetProxyFaults("{}"); });
}

BOOST_AUTO_TEST_CASE(AnswersCutWhileTheStoreIsDownAndAnEntryIsKilled) {
  Run(
      [&] {
        system.SetProxyFaults(kCuts);
        SetStore(kStoreDown);
        KillEntry(2);
      },
      [&] {
        system.SetProxyFaults("{}");
        SetStore(kStoreWell);
      });
}

BOOST_AUTO_TEST_CASE(PlannedStopCutsOffNothing) {
  const load_account account =
      Run([&] { system.StopInstance(0); }, [&] { system.StartInstance(0); });
  BOOST_TEST(account.cut_off == 0);
  BOOST_TEST(account.unknown == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::harness
