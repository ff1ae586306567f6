#include <absl/flags/flag.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>

#include "chivecrank/process/program.h"
#include "policy.h"
#include "sharing_policy.h"
#include "spraying_policy.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals, work and choices");
ABSL_FLAG(bool, json, false, "print a JSON line per scenario and policy");
ABSL_FLAG(std::string, scenario, "", "only this scenario");
ABSL_FLAG(std::string, policy, "", "only this policy");

namespace chivecrank::bench {
namespace {

constexpr int kLostDomain = 1;
/// Time until the instance list shows that workers are gone.
constexpr std::chrono::seconds kListLag{2};

struct named_policy {
  std::string name;
  std::function<std::unique_ptr<policy>(const run_context&)> make;
};

named_policy Sharing(std::string name, sharing_variant variant) {
  return {std::move(name), [variant](const run_context& context) {
            return std::make_unique<sharing_policy>(context, variant);
          }};
}

named_policy Spraying(std::string name, spraying_rule rule) {
  return {std::move(name), [rule](const run_context& context) {
            return std::make_unique<spraying_policy>(context, rule);
          }};
}

std::vector<named_policy> AllPolicies() {
  return {
      Sharing("ours", {}),
      Spraying("round_robin", spraying_rule::kRoundRobin),
      Spraying("least_in_flight", spraying_rule::kLeastInFlight),
      Sharing("central_queue", {1, false, false, true}),
      // The other ways of sharing that were weighed.
      Spraying("power_of_two", spraying_rule::kPowerOfTwo),
      Sharing("static_partition", {kEntries, false, false, false}),
      Sharing("domain_subsets", {kEntries, false, true, false}),
      Sharing("partition_lending", {kEntries, true, false, false}),
  };
}

/// One scenario under one policy.
class run {
 public:
  run(const scenario& from,
      const named_policy& by,
      const std::vector<arrival>& arrivals,
      std::uint64_t seed)
      : from_(from),
        arrivals_(arrivals),
        workers_(events_, from),
        callers_(events_, arrivals),
        policy_(by.make({events_, workers_, callers_, arrivals, seed})) {
    for (int entry = 0; entry < kEntries; ++entry)
      alive_.push_back(entry);
  }

  run_totals Execute() {
    if (from_.domain_lost) {
      events_.At(base::time_point(kRunTime / 3), [this] { LoseDomain(); });
      events_.At(base::time_point(kRunTime / 3 + kListLag),
                 [this] { policy_->Update(); });
    }
    ScheduleArrival(0);
    events_.RunUntil(base::time_point(kRunTime) + 2 * kDeadline);
    return callers_.Totals();
  }

  std::int64_t overcommitted() const { return workers_.overcommitted(); }
  double MessagesPerEntrySecond() const {
    return static_cast<double>(policy_->messages()) / kEntries /
           std::chrono::duration<double>(kRunTime).count();
  }

 private:
  void ScheduleArrival(std::size_t request) {
    if (request >= arrivals_.size())
      return;
    events_.At(arrivals_[request].at, [this, request] {
      ScheduleArrival(request + 1);
      events_.After(kDeadline,
                    [this, request] { callers_.MissedDeadline(request); });
      events_.After(kFarHop, [this, request] {
        policy_->Arrive(request,
                        alive_[arrivals_[request].choice % alive_.size()]);
      });
    });
  }

  void LoseDomain() {
    workers_.LoseDomain(kLostDomain);
    policy_->LoseDomain(kLostDomain);
    std::erase_if(alive_,
                  [](int entry) { return EntryDomain(entry) == kLostDomain; });
  }

  const scenario& from_;
  const std::vector<arrival>& arrivals_;
  event_queue events_;
  fleet workers_;
  recorder callers_;
  std::vector<int> alive_;
  std::unique_ptr<policy> policy_;
};

void Print(const std::string& scenario,
           const std::string& policy,
           const run& done,
           const run_totals& totals) {
  const char* format =
      absl::GetFlag(FLAGS_json)
          ? "{\"suite\":\"routing\",\"scenario\":\"%s\",\"policy\":\"%s\","
            "\"seed\":%llu,\"requests\":%lld,\"p50_ms\":%.2f,\"p99_ms\":%.2f,"
            "\"p999_ms\":%.2f,\"deadline_hit\":%.5f,\"refused\":%lld,"
            "\"overcommitted_slots\":%lld,\"others_p99_ms\":%.2f,"
            "\"others_deadline_hit\":%.5f,"
            "\"messages_per_entry_second\":%.1f}\n"
          : "%-13s %-17s seed %llu  %7lld requests  p50 %6.2f  p99 %7.2f  "
            "p999 %7.2f  hit %.5f  refused %6lld  over %6lld  others p99 "
            "%7.2f hit %.5f  messages %7.1f/s\n";
  std::printf(format, scenario.c_str(), policy.c_str(),
              static_cast<unsigned long long>(absl::GetFlag(FLAGS_seed)),
              static_cast<long long>(totals.requests), totals.p50_ms,
              totals.p99_ms, totals.p999_ms, totals.deadline_hit,
              static_cast<long long>(totals.refused),
              static_cast<long long>(done.overcommitted()),
              totals.others_p99_ms, totals.others_deadline_hit,
              done.MessagesPerEntrySecond());
  std::fflush(stdout);
}

bool IsWanted(const std::string& flag, const std::string& name) {
  return flag.empty() || flag == name;
}

}  // namespace
}  // namespace chivecrank::bench

int main(int argc, char** argv) {
  using namespace chivecrank;
  process::Initialize("bench_routing",
                      "Measures routing policies in virtual time.", argc, argv);
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  for (const bench::scenario& from : bench::AllScenarios()) {
    if (!bench::IsWanted(absl::GetFlag(FLAGS_scenario), from.name))
      continue;
    const auto arrivals = bench::MakeArrivals(from, seed);
    for (const bench::named_policy& by : bench::AllPolicies()) {
      if (!bench::IsWanted(absl::GetFlag(FLAGS_policy), by.name))
        continue;
      bench::run one(from, by, arrivals, seed);
      const bench::run_totals totals = one.Execute();
      bench::Print(from.name, by.name, one, totals);
    }
  }
  return 0;
}
