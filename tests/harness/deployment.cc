#include "harness/deployment.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

#include "chivecrank/coordination/store_codec.h"
#include "chivecrank/http/client.h"
#include "harness/balancer.h"

namespace chivecrank::harness {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{2000};
constexpr std::chrono::milliseconds kPoll{50};
constexpr std::chrono::seconds kReadyLimit{30};
constexpr int kPlatformGroup = 0;
constexpr int kInstanceGroup = 1;
constexpr int kWorkerGroup = 2;
constexpr int kProxyGroup = 3;
constexpr int kProxyControl = 250;
constexpr std::int64_t kSlots = 8;
constexpr std::int64_t kConnections = 64;
constexpr coordination::resources kWorkerCapacity{16'000, 60'000, 0};

std::filesystem::path MakeFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "chivecrank-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("can't make a temporary folder");
  return name;
}

base::result<http::json_object> TryFetch(const settings::endpoint& address,
                                         const std::string& target) {
  http::client client(address);
  const auto answer = client.Call({"GET", target, {}, ""}, kCallTimeout);
  if (!answer.has_value())
    return answer.error();
  return http::ParseObject(answer.value().body);
}

/// The account of a stand-in. A check without one would see nothing of what ran
/// there, so one that can't be had ends the test.
http::json_object FetchAccount(const settings::endpoint& address,
                               const std::string& target) {
  const auto limit = std::chrono::steady_clock::now() + kReadyLimit;
  for (;;) {
    const auto account = TryFetch(address, target);
    if (account.has_value())
      return account.value();
    if (std::chrono::steady_clock::now() > limit)
      throw std::runtime_error("no account from " +
                               settings::ToString(address) + target + ": " +
                               base::Describe(account.error()));
    std::this_thread::sleep_for(kPoll);
  }
}

void AppendRuns(const std::string& worker_id,
                const http::json_object& account,
                std::vector<task_run>& all) {
  const http::json_array runs = http::ArrayOf(account, "runs");
  for (unsigned i = 0; i < runs->size(); ++i) {
    const http::json_object run = runs->getObject(i);
    all.push_back(
        {worker_id, http::StringOf(run, "task"),
         http::IntegerOf(run, "attempt"), http::IntegerOf(run, "from_ms"),
         http::IntegerOf(run, "to_ms"), http::StringOf(run, "state")});
  }
}

bool AnyOvercommitted(const std::vector<http::json_object>& accounts) {
  return std::any_of(accounts.begin(), accounts.end(),
                     [](const http::json_object& account) {
                       return http::BooleanOf(account, "overcommitted");
                     });
}

/// Why a daemon is not ready; empty when it is.
std::string NotReadyReason(const settings::endpoint& status) {
  http::client client(status);
  const auto answer = client.Call({"GET", "/readyz", {}, ""}, kCallTimeout);
  if (!answer.has_value())
    return answer.error().message + "\n";
  if (answer.value().code == static_cast<int>(http::status::kOk))
    return "";
  return settings::ToString(status) + ": " + answer.value().body;
}

}  // namespace

deployment::deployment(deployment_options options)
    : options_(std::move(options)),
      folder_(MakeFolder()),
      platform_{network_.Host(kPlatformGroup, 1), 7100} {
  DescribeInstances();
  DescribeWorkers();
}

deployment::~deployment() {
  instances_.clear();
  workers_.clear();
  platform_process_.reset();
  proxy_process_.reset();
  if (std::getenv("CHIVECRANK_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(folder_);
}

void deployment::DescribeInstances() {
  std::vector<settings::endpoint> peers;
  std::vector<std::string> domains;
  for (int index = 0; index < options_.instances; ++index) {
    const std::string host = network_.Host(kInstanceGroup, index + 1);
    instance_addresses at;
    at.id = "i-" + std::to_string(index + 1);
    at.failure_domain =
        options_.failure_domains[static_cast<std::size_t>(index) %
                                 options_.failure_domains.size()];
    at.entry = {host, 8080};
    at.entry_status = {host, 8081};
    at.entry_peer = {host, 8082};
    at.scheduler = {host, 9090};
    at.scheduler_status = {host, 9091};
    at.admin = {host, 7400};
    at.admin_status = {host, 7401};
    at.platform = platform_;
    at.index = index;
    peers.push_back({host, 8083});
    domains.push_back(at.failure_domain);
    instances_.push_back({at, true, nullptr, nullptr, nullptr});
  }
  for (system_instance& instance : instances_) {
    instance.at.entry_peers = peers;
    instance.at.peer_domains = domains;
  }
}

void deployment::DescribeWorkers() {
  for (int index = 0; index < options_.workers; ++index) {
    const int rack = index / options_.workers_per_rack;
    const std::string host = network_.Host(kWorkerGroup, index + 1);
    coordination::instance worker;
    worker.id = "w-" + std::to_string(index + 1);
    worker.kind = coordination::instance_kind::kWorker;
    worker.failure_domain =
        options_.failure_domains[static_cast<std::size_t>(rack) %
                                 options_.failure_domains.size()];
    worker.rack = "r" + std::to_string(rack + 1);
    worker.capacity = kWorkerCapacity;
    worker.slots = kSlots;
    worker.connections = kConnections;
    const settings::endpoint service{host, 7200};
    worker.service =
        options_.proxied
            ? settings::endpoint{network_.Host(kProxyGroup, index + 1),
                                 service.port}
            : service;
    worker.agent = {host, 7201};
    workers_.push_back({worker, service, true, nullptr, {}, {}});
  }
}

bool deployment::Start() {
  platform_process_ =
      Launch("standin_platform", {"--host=" + platform_.host}, "platform");
  if (options_.proxied)
    StartProxy();
  for (int index = 0; index < options_.workers; ++index)
    StartWorker(index);
  http::client client(platform_);
  const auto limit = std::chrono::steady_clock::now() + kReadyLimit;
  while (!client.Call({"POST", "/control/calls", {}, "{}"}, kCallTimeout)
              .has_value()) {
    if (std::chrono::steady_clock::now() > limit)
      return false;
    std::this_thread::sleep_for(kPoll);
  }
  PublishInstances();
  for (int index = 0; index < options_.instances; ++index)
    StartInstance(index);
  for (int index = 0; index < options_.instances; ++index) {
    if (!WaitUntilReady(index, kReadyLimit))
      return false;
  }
  return true;
}

int deployment::Apply(const std::string& file) {
  return RunCtl({"apply", file});
}

int deployment::RunCtl(const std::vector<std::string>& arguments) {
  std::vector<std::string> flags = {
      "--admin=" + settings::ToString(instances_[0].at.admin),
      "--token=mere-token"};
  flags.insert(flags.end(), arguments.begin(), arguments.end());
  return Launch("chivecrankctl", flags, "ctl")->Wait();
}

void deployment::StartInstance(int index) {
  system_instance& instance = instances_.at(static_cast<std::size_t>(index));
  const std::string& id = instance.at.id;
  instance.listed = true;
  PublishInstances();
  const auto start = [&](const std::string& part, const std::string& text) {
    const std::string name = id + "-" + part;
    return Launch("chivecrank_" + part,
                  {"--settings=" + WriteSettings(name, text)}, name);
  };
  instance.scheduler = start("scheduler", SchedulerSettingsText(instance.at));
  instance.entry = start("entry", EntrySettingsText(instance.at));
  instance.admin = start("admin", AdminSettingsText(instance.at));
}

void deployment::KillInstance(int index) {
  system_instance& instance = instances_.at(static_cast<std::size_t>(index));
  for (child_process* process : ProcessesOf(index))
    process->Signal(SIGKILL);
  instance.entry.reset();
  instance.scheduler.reset();
  instance.admin.reset();
  instance.listed = false;
  PublishInstances();
}

void deployment::StopInstance(int index) {
  system_instance& instance = instances_.at(static_cast<std::size_t>(index));
  for (child_process* process : ProcessesOf(index))
    process->Signal(SIGTERM);
  for (child_process* process : ProcessesOf(index))
    process->Wait();
  instance.listed = false;
  PublishInstances();
}

void deployment::StartWorker(int index) {
  worker_instance& worker = workers_.at(static_cast<std::size_t>(index));
  const coordination::instance& listed = worker.listed;
  worker.shown = true;
  worker.process = Launch(
      "standin_worker",
      {"--id=" + listed.id, "--host=" + worker.service.host,
       "--service_ms=" + std::to_string(options_.service_ms),
       "--slots=" + std::to_string(listed.slots),
       "--processors_milli=" + std::to_string(listed.capacity.processors_milli),
       "--memory_mib=" + std::to_string(listed.capacity.memory_mib)},
      listed.id);
}

void deployment::KillWorker(int index) {
  worker_instance& worker = workers_.at(static_cast<std::size_t>(index));
  // Frozen first, so that the saved account is its last word.
  worker.service_accounts.push_back(
      FetchAccount(worker.service, "/control/freeze"));
  worker.task_accounts.push_back(
      FetchAccount(worker.listed.agent, "/control/freeze"));
  worker.process.reset();
  worker.shown = false;
  PublishInstances();
}

void deployment::SetLeaving(int index, bool leaving) {
  workers_.at(static_cast<std::size_t>(index)).listed.state =
      leaving ? coordination::instance_state::kLeaving
              : coordination::instance_state::kLive;
  PublishInstances();
}

void deployment::StartProxy() {
  proxy_ = {network_.Host(kProxyGroup, kProxyControl), 7300};
  std::string routes;
  for (const worker_instance& worker : workers_) {
    routes += (routes.empty() ? "" : ",") + worker.listed.id + "=" +
              settings::ToString(worker.listed.service) + ">" +
              settings::ToString(worker.service);
  }
  proxy_process_ =
      Launch("fault_proxy",
             {"--control=" + settings::ToString(proxy_), "--routes=" + routes},
             "proxy");
}

void deployment::SetProxyFaults(const std::string& json) {
  http::client client(proxy_);
  static_cast<void>(
      client.Call({"POST", "/control/faults", {}, json}, kCallTimeout));
}

void deployment::SetPlatformFaults(const std::string& json) {
  http::client client(platform_);
  static_cast<void>(
      client.Call({"POST", "/control/faults", {}, json}, kCallTimeout));
}

std::string deployment::PlatformCalls() {
  http::client client(platform_);
  const auto answer =
      client.Call({"POST", "/control/calls", {}, "{}"}, kCallTimeout);
  return answer.has_value() ? answer.value().body : "";
}

void deployment::PublishInstances() {
  http::json_array listed = new Poco::JSON::Array;
  for (const system_instance& instance : instances_) {
    if (!instance.listed)
      continue;
    coordination::instance entry;
    entry.id = instance.at.id;
    entry.kind = coordination::instance_kind::kSystem;
    entry.failure_domain = instance.at.failure_domain;
    entry.scheduler = instance.at.scheduler;
    entry.entry = instance.at.entry_peer;
    listed->add(coordination::EncodeInstance(entry));
  }
  for (const worker_instance& worker : workers_) {
    if (worker.shown)
      listed->add(coordination::EncodeInstance(worker.listed));
  }
  http::json_object body = new Poco::JSON::Object;
  body->set("instances", listed);
  http::client client(platform_);
  static_cast<void>(client.Call(
      {"POST", "/control/instances", {}, http::ToText(body)}, kCallTimeout));
}

bool deployment::WaitUntilReady(int index, std::chrono::seconds limit) {
  const instance_addresses& at = InstanceAt(index);
  const auto end = std::chrono::steady_clock::now() + limit;
  while (true) {
    const std::string reasons = NotReadyReason(at.entry_status) +
                                NotReadyReason(at.scheduler_status) +
                                NotReadyReason(at.admin_status);
    if (reasons.empty())
      return true;
    if (std::chrono::steady_clock::now() > end) {
      std::cerr << "not ready: " << reasons;
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
}

std::vector<settings::endpoint> deployment::Entries() const {
  return EntriesOf(Instances());
}

std::vector<instance_addresses> deployment::Instances() const {
  std::vector<instance_addresses> all;
  for (const system_instance& instance : instances_)
    all.push_back(instance.at);
  return all;
}

const instance_addresses& deployment::InstanceAt(int index) const {
  return instances_.at(static_cast<std::size_t>(index)).at;
}

const coordination::instance& deployment::WorkerAt(int index) const {
  return workers_.at(static_cast<std::size_t>(index)).listed;
}

std::vector<child_process*> deployment::ProcessesOf(int index) {
  system_instance& instance = instances_.at(static_cast<std::size_t>(index));
  std::vector<child_process*> all;
  for (const auto* process :
       {&instance.entry, &instance.scheduler, &instance.admin}) {
    if (*process)
      all.push_back(process->get());
  }
  return all;
}

child_process* deployment::WorkerProcess(int index) {
  return workers_.at(static_cast<std::size_t>(index)).process.get();
}

std::vector<task_run> deployment::TaskRuns() {
  std::vector<task_run> all;
  for (worker_instance& worker : workers_) {
    for (const http::json_object& account : TaskAccounts(worker))
      AppendRuns(worker.listed.id, account, all);
  }
  return all;
}

std::map<std::string, std::int64_t> deployment::RequestRuns() {
  std::map<std::string, std::int64_t> all;
  for (worker_instance& worker : workers_) {
    for (const http::json_object& account : ServiceAccounts(worker)) {
      const http::json_object runs = http::ObjectOf(account, "runs");
      if (!runs)
        continue;
      for (const std::string& identifier : runs->getNames())
        all[identifier] += http::IntegerOf(runs, identifier);
    }
  }
  return all;
}

std::int64_t deployment::LastStartAt(int index) {
  const worker_instance& worker = workers_.at(static_cast<std::size_t>(index));
  return std::max(
      http::IntegerOf(FetchAccount(worker.service, "/control/account"),
                      "last_start_ms"),
      http::IntegerOf(FetchAccount(worker.listed.agent, "/control/account"),
                      "last_start_ms"));
}

std::vector<std::string> deployment::OvercommittedWorkers() {
  std::vector<std::string> found;
  for (worker_instance& worker : workers_) {
    if (AnyOvercommitted(ServiceAccounts(worker)))
      found.push_back("slots of " + worker.listed.id);
    if (AnyOvercommitted(TaskAccounts(worker)))
      found.push_back("resources of " + worker.listed.id);
  }
  return found;
}

std::unique_ptr<child_process> deployment::Launch(
    const std::string& program,
    const std::vector<std::string>& flags,
    const std::string& name) {
  return std::make_unique<child_process>(
      std::string(CHIVECRANK_BINARY_DIR) + "/" + program, flags,
      (folder_ / (name + ".log")).string());
}

std::string deployment::WriteSettings(const std::string& name,
                                      const std::string& text) {
  const std::filesystem::path path = folder_ / (name + ".toml");
  std::ofstream(path) << text;
  return path.string();
}

std::vector<http::json_object> deployment::ServiceAccounts(
    const worker_instance& worker) {
  std::vector<http::json_object> accounts = worker.service_accounts;
  if (worker.process)
    accounts.push_back(FetchAccount(worker.service, "/control/account"));
  return accounts;
}

std::vector<http::json_object> deployment::TaskAccounts(
    const worker_instance& worker) {
  std::vector<http::json_object> accounts = worker.task_accounts;
  if (worker.process)
    accounts.push_back(FetchAccount(worker.listed.agent, "/control/account"));
  return accounts;
}

}  // namespace chivecrank::harness
