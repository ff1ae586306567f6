#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

#include "cases.h"
#include "deployment.h"
#include "record.h"
#include "worker.h"

namespace {

constexpr int kWorkerWords = 10;
constexpr int kCaseWords = 3;
constexpr int kCannotRun = 2;

int RunWorker(char** words) {
  review::record::Open(words[9]);
  review::worker_settings settings;
  settings.id = words[2];
  settings.service = words[3];
  settings.rack = words[4];
  settings.port = static_cast<std::uint16_t>(std::atoi(words[5]));
  settings.store_port = static_cast<std::uint16_t>(std::atoi(words[6]));
  settings.hub_port = static_cast<std::uint16_t>(std::atoi(words[7]));
  settings.kind = words[8];
  settings.hold_max_ms = review::kHoldMaxMs;
  settings.heartbeat_ms = review::kHeartbeatMs;
  return review::RunWorker(settings);
}

}  // namespace

/// Runs a worker, or a case: its name and the file for its record.
int main(int count, char** words) {
  const std::string what = count > 1 ? words[1] : "";
  if (what == "worker" && count == kWorkerWords)
    return RunWorker(words);
  const std::map<std::string, std::function<int(const review::case_input&)>>
      cases = {{"cancel-while-in-doubt", &review::CancelWhileInDoubt},
               {"gang-after-crash", &review::GangAfterCrash},
               {"gang-checkpoints", &review::GangCheckpoints},
               {"gang-member-fails", &review::GangMemberFails}};
  const auto found = cases.find(what);
  if (found == cases.end() || count != kCaseWords)
    return kCannotRun;
  std::remove(words[2]);
  review::record::Open(words[2]);
  const char* trouble = std::getenv("TROUBLE");
  // Never destroyed, since the store's threads use it until the end.
  auto& system = *new review::deployment(words[0], words[2]);
  const int result = found->second(
      {system, words[2], trouble == nullptr || std::string(trouble) != "0"});
  system.Stop();
  review::record::Write("result " + std::to_string(result));
  std::fflush(nullptr);
  std::_Exit(result);
}
