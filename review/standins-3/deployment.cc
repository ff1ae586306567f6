#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "record.h"

namespace review {
namespace {

constexpr char kService[] = "dispatch-1";
constexpr char kHost[] = "desk.example";
constexpr char kInstanceProgram[] = "target/bin/chivecrank_instance";
constexpr int kReadyTimeoutMs = 20'000;
constexpr int kWorkersPerRack = 6;

/// Starts a program with arguments and one more variable in its environment.
pid_t StartProcess(const std::vector<std::string>& words,
                   const std::string& variable,
                   const std::string& output) {
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (const std::string& word : words)
    arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  const std::string path =
      std::string("PATH=") + (getenv("PATH") != nullptr ? getenv("PATH") : "");
  char* environment[] = {const_cast<char*>(path.c_str()),
                         const_cast<char*>(variable.c_str()), nullptr};
  const pid_t process = fork();
  if (process != 0)
    return process;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int file =
      open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  execve(arguments[0], arguments.data(), environment);
  _exit(127);
}

std::string StepsText(const std::vector<step>& steps) {
  std::string text;
  for (const step& one : steps) {
    text += text.empty() ? "{" : ",{";
    text += "\"Count\":" + std::to_string(one.count) +
            ",\"Cpu\":" + std::to_string(one.cpu) +
            ",\"MemMb\":" + std::to_string(one.mem_mb) +
            ",\"EstimateMs\":" + std::to_string(one.estimate_ms) +
            ",\"Image\":\"image-1\"";
    if (one.lasts)
      text += ",\"Persistent\":true";
    if (one.fills)
      text += ",\"Fills\":true";
    if (one.gang)
      text += ",\"Gang\":true";
    if (one.saves)
      text += ",\"Checkpoint\":true";
    if (one.per_worker > 0)
      text += ",\"MaxPerServer\":" + std::to_string(one.per_worker);
    if (!one.needed_kind.empty())
      text += ",\"Requires\":\"" + one.needed_kind + "\"";
    text += "}";
  }
  return text;
}

}  // namespace

deployment::deployment(std::string program, std::string record_file)
    : program_(std::move(program)),
      record_file_(std::move(record_file)),
      store_(kHeartbeatMs) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (mkdtemp(folder.data()) != nullptr)
    folder_ = folder;
}

void deployment::Stop() {
  for (child& worker : workers_)
    End(worker);
  for (child& instance : instances_)
    End(instance);
  if (!folder_.empty() && getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(folder_);
}

bool deployment::Start(std::size_t instances, std::size_t workers) {
  store_port_ = http::FreePort();
  hub_port_ = http::FreePort();
  if (folder_.empty() || !store_.Listen(store_port_) || !hub_.Listen(hub_port_))
    return false;
  PutManifest();
  for (std::size_t i = 0; i < workers; ++i) {
    workers_.push_back({-1, http::FreePort(), 0});
    StartWorker(i);
  }
  for (std::size_t i = 0; i < instances; ++i) {
    instances_.emplace_back();
    StartInstance(i);
  }
  const std::int64_t end = record::SteadyMs() + kReadyTimeoutMs;
  for (const child& instance : instances_)
    while (!IsReady(instance)) {
      if (record::SteadyMs() > end)
        return false;
      SleepMs(50);
    }
  return true;
}

void deployment::PutManifest() {
  std::string routes;
  const std::map<std::string, int> priorities = {
      {"callout", 0}, {"round", 2}, {"watch", 0}};
  for (const auto& [queue, priority] : priorities) {
    routes += routes.empty() ? "" : ",";
    routes += "{\"Name\":\"" + queue + "\",\"Host\":\"" + kHost +
              "\",\"Prefix\":\"/" + queue +
              "/\",\"Kind\":\"unsafe\",\"TimeoutMs\":3000,"
              "\"TargetRuntimeMs\":1000,\"Priority\":" +
              std::to_string(priority) + ",\"Service\":\"" + kService +
              "\",\"MaxAttempts\":3,\"Stretch\":2.0}";
  }
  store_.Put("op/config",
             "{\"Version\":7,\"Routes\":[" + routes +
                 "],\"Services\":[{\"Name\":\"" + kService +
                 "\",\"HealthPath\":\"/health\",\"MaxConns\":64,"
                 "\"Protocol\":\"h1\",\"Tls\":false,\"RejectsOverload\":true,"
                 "\"Standby\":false}],\"Limits\":{\"MaxBodyBytes\":262144}}");
}

void deployment::StartInstance(std::size_t number) {
  child& instance = instances_[number];
  instance.port = http::FreePort();
  instance.ready_port = http::FreePort();
  const std::string name = "front-" + std::to_string(number + 1);
  const std::string settings = folder_ + "/" + name + ".toml";
  std::ofstream(settings) << "node = \"" << name << "\"\n"
                          << "failure_domain = \"zone-a\"\n"
                          << "callers = \"127.0.0.1:" << instance.port
                          << "\"\nreadiness = \"127.0.0.1:"
                          << instance.ready_port
                          << "\"\nmetrics = \"127.0.0.1:" << http::FreePort()
                          << "\"\nstore = \"127.0.0.1:" << store_port_
                          << "\"\n\n[machine]\ncpu_share = 0.25\n"
                          << "memory_mb = 260\n\n[scheduling]\n"
                          << "worker_lease_ms = " << kHoldMaxMs << "\n";
  instance.process =
      StartProcess({kInstanceProgram}, "CHIVECRANK_BOOT=" + settings,
                   folder_ + "/" + name + ".log");
}

void deployment::StartWorker(std::size_t number, const std::string& kind) {
  child& worker = workers_[number];
  worker.process =
      StartProcess({program_, "worker", WorkerId(number), kService,
                    "r-" + std::to_string(number / kWorkersPerRack),
                    std::to_string(worker.port), std::to_string(store_port_),
                    std::to_string(hub_port_), kind, record_file_},
                   "ROLE=worker", folder_ + "/workers.log");
}

void deployment::KillWorker(std::size_t number) {
  record::Write("worker " + WorkerId(number) + " is killed");
  End(workers_[number]);
}

std::string deployment::WorkerId(std::size_t number) const {
  return "i-" + std::to_string(1001 + number);
}

bool deployment::IsReady(const child& instance) const {
  const auto answer =
      http::Call({instance.ready_port, "GET", "/-/readiness", {}, "", 500});
  return answer && answer->code == 200;
}

std::optional<http::response> deployment::CallClient(std::size_t instance,
                                                     const std::string& method,
                                                     const std::string& queue,
                                                     const std::string& id,
                                                     const std::string& body) {
  const std::string target = "/" + queue + "/" + id;
  record::Write("client sends " + method + " " + target + " to front-" +
                std::to_string(instance + 1));
  auto answer = http::Call({instances_[instance].port,
                            method,
                            target,
                            {{"Host", kHost},
                             {"Content-Type", "application/json"},
                             {"Timeout-Ms", std::to_string(kRequestLimitMs)}},
                            body,
                            kRequestLimitMs});
  record::Write("client gets " +
                (answer ? std::to_string(answer->code) + " " + answer->body
                        : std::string("no answer")) +
                " to " + method + " " + target);
  return answer;
}

int deployment::Submit(std::size_t instance,
                       const std::string& queue,
                       const std::string& id,
                       const std::string& spec,
                       const std::vector<step>& steps) {
  const auto answer = CallClient(
      instance, "POST", queue, id,
      "{\"Spec\":\"" + spec + "\",\"Steps\":[" + StepsText(steps) + "]}");
  return answer ? answer->code : 0;
}

int deployment::Cancel(std::size_t instance,
                       const std::string& queue,
                       const std::string& id) {
  const auto answer = CallClient(instance, "DELETE", queue, id, "");
  return answer ? answer->code : 0;
}

std::string deployment::State(std::size_t instance,
                              const std::string& queue,
                              const std::string& id) {
  const auto answer = CallClient(instance, "GET", queue, id, "");
  if (!answer)
    return "none";
  const std::string mark = "\"State\":\"";
  const std::size_t at = answer->body.find(mark);
  if (at == std::string::npos)
    return std::to_string(answer->code);
  const std::size_t begin = at + mark.size();
  return answer->body.substr(begin, answer->body.find('"', begin) - begin);
}

std::string deployment::NewId() {
  char text[17];
  std::snprintf(
      text, sizeof(text), "%016llx",
      0x5c0e7a2100000000ULL + static_cast<unsigned long long>(++last_id_));
  return text;
}

void deployment::End(child& ended) {
  if (ended.process <= 0)
    return;
  kill(ended.process, SIGKILL);
  waitpid(ended.process, nullptr, 0);
  ended.process = -1;
}

void SleepMs(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::vector<run_event> ReadRuns(const std::string& record_file) {
  std::vector<run_event> events;
  std::ifstream file(record_file);
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    run_event read;
    std::string word;
    words >> read.at_ms >> word >> read.worker >> read.what;
    if (word != "worker" || (read.what != "starts" && read.what != "ends"))
      continue;
    read.text = line;
    words >> read.task >> word >> read.run >> read.how;
    events.push_back(read);
  }
  return events;
}

}  // namespace review
