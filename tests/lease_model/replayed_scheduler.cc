#include "replayed_scheduler.h"

#include <algorithm>
#include <vector>

namespace chivecrank::lease_model {

const submissions::shard_scheduler& replayed_scheduler::Get() const {
  if (!scheduler_)
    scheduler_ = Build();
  return *scheduler_;
}

submissions::shard_scheduler& replayed_scheduler::Exclusive() {
  if (!scheduler_ || scheduler_.use_count() > 1)
    scheduler_ = Build();
  return *scheduler_;
}

std::shared_ptr<submissions::shard_scheduler> replayed_scheduler::Build()
    const {
  auto built = std::make_shared<submissions::shard_scheduler>(
      settings_, submissions::scheduler_event_hook());
  std::vector<const recorded_call*> calls;
  for (const recorded_call* made = calls_.get(); made != nullptr;
       made = made->previous.get())
    calls.push_back(made);
  std::for_each(calls.rbegin(), calls.rend(),
                [&](const recorded_call* made) { made->call(*built); });
  return built;
}

}  // namespace chivecrank::lease_model
