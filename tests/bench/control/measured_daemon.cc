#include "measured_daemon.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace chivecrank::bench {
namespace {

constexpr coordination::resources kCapacity{26'000, 104'000, 0};
constexpr coordination::resources kDemand{1000, 4000, 0};
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;
constexpr std::chrono::hours kTenure{1000};
/// Rounds in which the first tasks are spread over the workers.
constexpr int kFillingRounds = 40;

void RunInline(const std::function<void()>& job) {
  job();
}

double ResidentMegabytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) /
         kBytesPerMegabyte;
}

}  // namespace

measured_daemon::measured_daemon(const control_load& load)
    : load_(load),
      store_(clock_, meter_),
      agents_(clock_, meter_, load.seed),
      held_(std::make_shared<protocol::ownership_lease>(
          load.settings.outage_grace)) {
  held_->Extend(clock_.Now() + kTenure);
  const int share = (load_.workers + load_.instances - 1) / load_.instances;
  for (int placed = 0, number = 0; placed < share; ++number) {
    const int size = std::min(load_.workers_per_rack, share - placed);
    AddShard(number, size);
    placed += size;
  }
}

void measured_daemon::AddShard(int number, int workers) {
  led_shard led;
  const std::string name = "viti-suva.r" + std::to_string(number);
  for (int i = 0; i < workers; ++i) {
    coordination::instance worker;
    worker.id = "w-" + std::to_string(number * load_.workers_per_rack + i);
    worker.failure_domain = "viti-suva";
    worker.rack = "r" + std::to_string(number);
    worker.capacity = kCapacity;
    worker.agent = {"10.0." + std::to_string(number) + "." + std::to_string(i),
                    7201};
    led.workers.push_back(worker);
  }
  led.runner = std::make_unique<shards::shard_runner>(
      name, 1, load_.settings, clock_, store_, agents_, "i-1-run", held_,
      shards::executors{RunInline, RunInline, RunInline});
  if (!led.runner->Open().has_value())
    std::fprintf(stderr, "can't open %s\n", name.c_str());
  shards_.push_back(std::move(led));
}

void measured_daemon::SubmitTo(std::size_t shard) {
  scheduling::task_request request;
  char digits[25];
  std::snprintf(digits, sizeof(digits), "%024lx", ++last_task_);
  request.id = shards_[shard].runner->shard() + ":" + digits;
  request.account = "hotel-watch";
  request.team = "dispatchers";
  request.template_name = "round-plan";
  request.demand = kDemand;
  request.run_time = std::chrono::minutes(3);
  static_cast<void>(shards_[shard].runner->Submit(request));
}

void measured_daemon::RunRounds() {
  for (led_shard& led : shards_)
    static_cast<void>(led.runner->RunRound(led.workers));
  clock_.Advance(load_.settings.round_interval);
}

control_cost measured_daemon::Run() {
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    const std::size_t tasks = shards_[shard].workers.size() *
                              static_cast<std::size_t>(load_.tasks_per_worker);
    for (std::size_t i = 0; i < tasks; ++i)
      SubmitTo(shard);
  }
  for (int round = 0; round < kFillingRounds; ++round)
    RunRounds();
  const std::uint64_t starts = agents_.starts();
  const std::uint64_t calls = agents_.calls();
  const std::uint64_t agent_bytes = agents_.bytes();
  const std::uint64_t store_bytes = store_.bytes();
  const std::uint64_t writes = store_.writes();
  const std::uint64_t reads = store_.reads();
  const double share = load_.starts_per_second / load_.instances;
  const double seconds = static_cast<double>(load_.measured.count());
  const base::time_point begin = clock_.Now();
  double due = 0;
  meter_.Start();
  while (clock_.Now() - begin < load_.measured) {
    due += share *
           std::chrono::duration<double>(load_.settings.round_interval).count();
    for (; due >= 1; due -= 1) {
      {
        const cpu_meter::pause outside(meter_);
        agents_.EndOne();
      }
      SubmitTo(last_task_ % shards_.size());
    }
    RunRounds();
  }
  control_cost cost;
  cost.cpu_seconds = std::chrono::duration<double>(meter_.Spent()).count();
  cost.starts = agents_.starts() - starts;
  cost.agent_calls = agents_.calls() - calls;
  cost.agent_bytes_per_s =
      static_cast<double>(agents_.bytes() - agent_bytes) / seconds;
  cost.store_bytes_per_s =
      static_cast<double>(store_.bytes() - store_bytes) / seconds;
  cost.journal_writes_per_s =
      static_cast<double>(store_.writes() - writes) / seconds;
  cost.journal_reads_per_s =
      static_cast<double>(store_.reads() - reads) / seconds;
  cost.memory_mb = ResidentMegabytes();
  return cost;
}

}  // namespace chivecrank::bench
