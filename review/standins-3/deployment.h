#ifndef CHIVECRANK_REVIEW_STANDINS_3_DEPLOYMENT_H_
#define CHIVECRANK_REVIEW_STANDINS_3_DEPLOYMENT_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gang_hub.h"
#include "store.h"

namespace review {

/// Bounds of the site tanoa-dispatch.
inline constexpr int kHoldMaxMs = 6000;
inline constexpr int kHeartbeatMs = 1500;
inline constexpr int kCancelMs = 3000;
inline constexpr int kStopMs = 400;
inline constexpr int kContactMs = 3000;
inline constexpr int kRequestLimitMs = 3000;

struct step {
  int count = 1;
  int cpu = 1000;
  int mem_mb = 512;
  int estimate_ms = 800;
  bool lasts = false;
  bool fills = false;
  bool gang = false;
  bool saves = false;
  /// At most so many tasks on a worker; 0 for any number.
  int per_worker = 0;
  /// Empty for any worker.
  std::string needed_kind;
};

/// A small deployment on 127.0.0.1: a store in this process, instances and
/// workers as processes of their own. The store serves until the process ends.
class deployment {
 public:
  /// Processes write to `record_file`; settings lie in a temporary folder.
  deployment(std::string program, std::string record_file);

  store& Store() { return store_; }

  /// Starts the store, instances and workers; returns false if they aren't
  /// ready in time.
  bool Start(std::size_t instances, std::size_t workers);
  /// Ends all processes that it started.
  void Stop();
  void StartWorker(std::size_t number, const std::string& kind = "a");
  void KillWorker(std::size_t number);
  std::string WorkerId(std::size_t number) const;

  /// Calls of clients; 0 without an answer. The answers go into the record.
  int Submit(std::size_t instance,
             const std::string& queue,
             const std::string& id,
             const std::string& spec,
             const std::vector<step>& steps);
  int Cancel(std::size_t instance,
             const std::string& queue,
             const std::string& id);
  /// The state, or the status as text if there is none.
  std::string State(std::size_t instance,
                    const std::string& queue,
                    const std::string& id);

  /// A new identifier of 16 digits.
  std::string NewId();

 private:
  struct child {
    pid_t process = -1;
    std::uint16_t port = 0;
    std::uint16_t ready_port = 0;
  };

  bool IsReady(const child& instance) const;
  void StartInstance(std::size_t number);
  void PutManifest();
  std::optional<http::response> CallClient(std::size_t instance,
                                           const std::string& method,
                                           const std::string& queue,
                                           const std::string& id,
                                           const std::string& body);
  static void End(child& ended);

  const std::string program_;
  const std::string record_file_;
  std::string folder_;
  store store_;
  gang_hub hub_;
  std::uint16_t hub_port_ = 0;
  std::uint16_t store_port_ = 0;
  std::vector<child> instances_;
  std::vector<child> workers_;
  std::uint64_t last_id_ = 0;
};

void SleepMs(int milliseconds);

/// One line of the record about a run.
struct run_event {
  std::int64_t at_ms = 0;
  std::string worker;
  /// "starts" or "ends".
  std::string what;
  std::string task;
  std::string run;
  /// How it ended.
  std::string how;
  /// The line.
  std::string text;
};

/// What the workers wrote into the record.
std::vector<run_event> ReadRuns(const std::string& record_file);

}  // namespace review

#endif  // CHIVECRANK_REVIEW_STANDINS_3_DEPLOYMENT_H_
