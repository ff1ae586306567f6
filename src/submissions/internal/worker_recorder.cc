#include "internal/worker_recorder.h"

#include <algorithm>

namespace chivecrank::submissions::internal {

void worker_recorder::Restore(const worker_record& record) {
  restored_[record.worker] = record;
}

void worker_recorder::FinishRestore() {
  for (auto& [id, worker] : workers_.All()) {
    const auto found = restored_.find(id);
    if (found == restored_.end())
      continue;
    worker.recorded_address = found->second.address;
    if (!worker.listed)
      worker.description.address = found->second.address;
  }
  restored_.clear();
}

bool worker_recorder::HasDue() const {
  return std::ranges::any_of(
      workers_.All(), [](const auto& entry) { return IsDue(entry.second); });
}

std::vector<worker_record> worker_recorder::TakeDue() {
  std::vector<worker_record> due;
  for (auto& [id, worker] : workers_.All()) {
    if (!IsDue(worker))
      continue;
    worker.recorded_address = worker.description.address;
    due.push_back({id, worker.recorded_address});
  }
  return due;
}

std::vector<worker_record> worker_recorder::All() const {
  std::vector<worker_record> records;
  for (const auto& [id, worker] : workers_.All())
    if (worker.recorded_address.port != 0)
      records.push_back({id, worker.recorded_address});
  return records;
}

bool worker_recorder::IsDue(const worker_entry& worker) {
  const settings::endpoint& address = worker.description.address;
  return !worker.runs.empty() && address.port != 0 &&
         address != worker.recorded_address;
}

}  // namespace chivecrank::submissions::internal
