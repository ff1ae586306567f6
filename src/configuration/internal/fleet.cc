#include "chivecrank/configuration/fleet.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace chivecrank::configuration {
namespace {

constexpr std::size_t kCallsAtATime = 8;
constexpr std::chrono::hours kNeverConfirmed{24};

}  // namespace

std::vector<process_state> AskAll(const std::vector<membership::member>& all,
                                  membership::transport& calls) {
  std::vector<process_state> states(all.size());
  std::atomic<std::size_t> next = 0;
  const auto ask = [&] {
    for (std::size_t i = next++; i < all.size(); i = next++) {
      states[i].process = all[i];
      // A digest without a sender tells nothing; its age is never the youngest.
      membership::digest question;
      question.confirmed_age = kNeverConfirmed;
      const auto answer = calls.Exchange(all[i].identity.address, question);
      states[i].reached = answer.has_value();
      if (answer.has_value())
        states[i].active_revision = answer.value().in_force;
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(kCallsAtATime, all.size()); ++i)
    threads.emplace_back(ask);
  for (std::thread& thread : threads)
    thread.join();
  return states;
}

bool IsActiveEverywhere(const std::vector<process_state>& all,
                        revision number) {
  return std::all_of(all.begin(), all.end(), [&](const process_state& one) {
    return one.reached && one.active_revision >= number;
  });
}

}  // namespace chivecrank::configuration
