#include "chivecrank/configuration/fleet.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace chivecrank::configuration {
namespace {

constexpr std::size_t kMaxConcurrentCalls = 8;
constexpr std::chrono::hours kUnconfirmedAge{24};

}  // namespace

std::vector<process_state> QueryProcesses(
    const std::vector<membership::member>& all,
    membership::transport& calls) {
  std::vector<process_state> states(all.size());
  std::atomic<std::size_t> next = 0;
  const auto ask = [&] {
    for (std::size_t i = next++; i < all.size(); i = next++) {
      states[i].process = all[i];
      // A digest with no sender, version or rumors changes nothing at the
      // receiver. The long age keeps it from counting as a recent confirmation.
      membership::digest request;
      request.confirmed_age = kUnconfirmedAge;
      const auto answer = calls.Exchange(all[i].identity.address, request);
      states[i].reached = answer.has_value();
      if (answer.has_value())
        states[i].active_revision = answer.value().active_version;
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(kMaxConcurrentCalls, all.size()); ++i)
    threads.emplace_back(ask);
  for (std::thread& thread : threads)
    thread.join();
  return states;
}

bool IsActiveEverywhere(const std::vector<process_state>& all,
                        revision number) {
  return std::all_of(all.begin(), all.end(), [&](const process_state& state) {
    return state.reached && state.active_revision >= number;
  });
}

}  // namespace chivecrank::configuration
