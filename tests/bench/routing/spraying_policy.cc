#include "spraying_policy.h"

namespace chivecrank::bench {
namespace {

constexpr std::chrono::milliseconds kGossipPeriod{20};

}  // namespace

spraying_policy::spraying_policy(const run_context& context, spraying_rule rule)
    : context_(context), rule_(rule), random_(context.seed) {
  Update();
  if (rule_ == spraying_rule::kPowerOfTwo)
    Gossip();
}

void spraying_policy::Arrive(std::size_t request, int entry) {
  entry_state& at = entries_[static_cast<std::size_t>(entry)];
  const int worker = Choose(at);
  const base::duration hop = Hop(EntryDomain(entry), fleet::DomainOf(worker));
  int& count = at.in_flight[static_cast<std::size_t>(worker)];
  ++count;
  const base::duration work = context_.arrivals[request].work;
  context_.events.After(hop, [=, this, &at, &count] {
    const bool started =
        context_.workers.Start(worker, work, [=, this, &at, &count] {
          context_.events.After(hop, [=, this, &at, &count] {
            --count;
            if (!at.alive)
              return;
            context_.events.After(
                kFarHop, [=, this] { context_.callers.Answered(request); });
          });
        });
    if (started)
      return;
    context_.events.After(kConnectTimeout, [=, this, &at, &count] {
      --count;
      if (at.alive && context_.callers.IsOpen(request))
        Arrive(request, entry);
    });
  });
}

int spraying_policy::Choose(entry_state& at) {
  if (rule_ == spraying_rule::kRoundRobin)
    return listed_[at.next++ % listed_.size()];
  const auto load = [&](int worker) {
    const auto index = static_cast<std::size_t>(worker);
    return at.in_flight[index] + at.told[index];
  };
  if (rule_ == spraying_rule::kPowerOfTwo) {
    const int one = listed_[random_() % listed_.size()];
    const int other = listed_[random_() % listed_.size()];
    return load(one) <= load(other) ? one : other;
  }
  // Starts at another worker each time, so that ties spread.
  const std::size_t start = random_();
  int best = listed_[start % listed_.size()];
  for (std::size_t i = 1; i < listed_.size(); ++i) {
    const int worker = listed_[(start + i) % listed_.size()];
    if (load(worker) < load(best))
      best = worker;
  }
  return best;
}

void spraying_policy::Gossip() {
  for (entry_state& to : entries_) {
    std::vector<int> sum(kWorkers);
    for (const entry_state& from : entries_) {
      for (std::size_t i = 0; &from != &to && i < sum.size(); ++i)
        sum[i] += from.in_flight[i];
    }
    context_.events.After(kFarHop, [&to, sum] { to.told = sum; });
    messages_ += kEntries - 1;
  }
  context_.events.After(kGossipPeriod, [this] { Gossip(); });
}

void spraying_policy::Update() {
  listed_.clear();
  for (const coordination::instance& worker : context_.workers.List())
    listed_.push_back(std::stoi(worker.id));
}

void spraying_policy::LoseDomain(int domain) {
  for (int i = 0; i < kEntries; ++i) {
    if (EntryDomain(i) == domain)
      entries_[static_cast<std::size_t>(i)].alive = false;
  }
}

}  // namespace chivecrank::bench
