#ifndef CHIVECRANK_TESTS_HARNESS_DEPLOYMENT_H_
#define CHIVECRANK_TESTS_HARNESS_DEPLOYMENT_H_

#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivecrank/coordination/types.h"
#include "chivecrank/http/json.h"
#include "harness/child_process.h"
#include "harness/network.h"
#include "harness/settings_files.h"

namespace chivecrank::harness {

/// Shape of a deployment on loopback.
struct deployment_options {
  int workers = 4;
  int workers_per_rack = 2;
  int instances = 2;
  int service_ms = 20;
  /// Upstreams are reached through a fault proxy; see SetProxyFaults.
  bool proxied = false;
  std::vector<std::string> failure_domains = {"viti-suva", "viti-nadi",
                                              "viti-lautoka", "viti-labasa"};
};

/// What a worker's own account says of the tasks it ran.
struct task_run {
  std::string worker_id;
  std::string task_id;
  std::int64_t attempt = 0;
  /// Wall time in milliseconds; `to` is 0 while it runs.
  std::int64_t from = 0;
  std::int64_t to = 0;
  std::string state;
};

/// The platform, the workers and the system's processes of one test.
class deployment {
 public:
  explicit deployment(deployment_options options);
  ~deployment();

  /// Starts everything and waits until every instance is ready.
  /// Returns false, with the logs left in place, when that takes too long.
  bool Start();

  /// Applies an operators' file with chivecrankctl; returns its exit code.
  int Apply(const std::string& file);
  /// Runs chivecrankctl as `mere`; returns its exit code.
  int RunCtl(const std::vector<std::string>& arguments);

  void StartInstance(int index);
  void KillInstance(int index);
  void StopInstance(int index);
  void StartWorker(int index);
  void KillWorker(int index);

  /// Sets the faults of the platform; see docs/WIRE.md.
  /// Sets the faults between entries and upstreams; see tests/fault_proxy.
  void SetProxyFaults(const std::string& json);
  void SetPlatformFaults(const std::string& json);
  /// How many calls of each kind the platform has had, as JSON.
  std::string PlatformCalls();
  /// Tells the platform's list which instances are there now.
  void PublishInstances();

  bool WaitUntilReady(int index, std::chrono::seconds limit);

  std::vector<settings::endpoint> Entries() const;
  /// Addresses of all instances, for a balancer.
  std::vector<instance_addresses> Instances() const;
  const instance_addresses& InstanceAt(int index) const;
  const coordination::instance& WorkerAt(int index) const;
  /// Process identifiers of an instance, for signals.
  std::vector<child_process*> ProcessesOf(int index);
  child_process* WorkerProcess(int index);

  /// Marks a worker as leaving, or as live again.
  void SetLeaving(int index, bool leaving);

  /// The workers' own accounts, those of killed workers included.
  std::vector<task_run> TaskRuns();
  /// How often each request ran, over all workers.
  std::map<std::string, std::int64_t> RequestRuns();
  /// "slots of ID" or "resources of ID" for each worker whose account says
  /// that it was given too much at once.
  std::vector<std::string> OvercommittedWorkers();

  /// Wall time in milliseconds of the last request or task that a worker
  /// started.
  std::int64_t LastStartAt(int index);

  const std::filesystem::path& folder() const { return folder_; }

 private:
  struct system_instance {
    instance_addresses at;
    bool listed = true;
    std::unique_ptr<child_process> entry;
    std::unique_ptr<child_process> scheduler;
    std::unique_ptr<child_process> admin;
  };
  struct worker_instance {
    coordination::instance listed;
    /// Where its service listens, with or without a proxy before it.
    settings::endpoint service;
    bool shown = true;
    std::unique_ptr<child_process> process;
    /// Accounts of its earlier lives.
    std::vector<http::json_object> service_accounts;
    std::vector<http::json_object> task_accounts;
  };

  void DescribeInstances();
  void DescribeWorkers();
  void StartProxy();
  std::unique_ptr<child_process> Launch(const std::string& program,
                                        const std::vector<std::string>& flags,
                                        const std::string& name);
  std::string WriteSettings(const std::string& name, const std::string& text);
  /// The accounts of all lives of a worker.
  static std::vector<http::json_object> ServiceAccounts(
      const worker_instance& worker);
  static std::vector<http::json_object> TaskAccounts(
      const worker_instance& worker);

  deployment_options options_;
  network network_;
  std::filesystem::path folder_;
  settings::endpoint platform_;
  std::unique_ptr<child_process> platform_process_;
  settings::endpoint proxy_;
  std::unique_ptr<child_process> proxy_process_;
  std::vector<system_instance> instances_;
  std::vector<worker_instance> workers_;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_HARNESS_DEPLOYMENT_H_
