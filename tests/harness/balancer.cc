#include "harness/balancer.h"

#include <utility>

#include "chivecrank/http/client.h"

namespace chivecrank::harness {
namespace {

constexpr std::chrono::milliseconds kPeriod{100};
constexpr std::chrono::milliseconds kCallTimeout{100};

}  // namespace

std::vector<settings::endpoint> EntriesOf(
    const std::vector<instance_addresses>& instances) {
  std::vector<settings::endpoint> entries;
  entries.reserve(instances.size());
  for (const instance_addresses& instance : instances)
    entries.push_back(instance.entry);
  return entries;
}

balancer::balancer(std::vector<instance_addresses> instances)
    : instances_(std::move(instances)), thread_([this] { Run(); }) {}

balancer::~balancer() {
  stopping_ = true;
  thread_.join();
}

bool balancer::SendsTo(const settings::endpoint& entry) const {
  std::lock_guard lock(mutex_);
  return !unready_.contains(settings::ToString(entry));
}

void balancer::Run() {
  while (!stopping_) {
    for (const instance_addresses& instance : instances_)
      Check(instance);
    std::this_thread::sleep_for(kPeriod);
  }
}

void balancer::Check(const instance_addresses& instance) {
  http::client client(instance.entry_status);
  const auto answer = client.Call({"GET", "/readyz", {}, ""}, kCallTimeout);
  const std::string entry = settings::ToString(instance.entry);
  const bool unready = answer.has_value() &&
                       answer.value().code ==
                           static_cast<int>(http::status::kServiceUnavailable);
  std::lock_guard lock(mutex_);
  if (unready)
    unready_.insert(entry);
  else if (answer.has_value())
    unready_.erase(entry);
}

}  // namespace chivecrank::harness
