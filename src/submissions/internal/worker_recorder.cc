#include "internal/worker_recorder.h"

#include <algorithm>
#include <utility>

namespace chivecrank::submissions::internal {
namespace {

std::chrono::milliseconds LeaseLeft(const worker_entry& worker,
                                    base::time_point now) {
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::ceil<std::chrono::milliseconds>(
                      worker.lease.Expiry() - now));
}

}  // namespace

void worker_recorder::Restore(const worker_record& record) {
  restored_[record.worker] = record;
}

void worker_recorder::FinishRestore(base::time_point acquired_at,
                                    std::chrono::milliseconds longest_lease,
                                    base::time_point now) {
  // A bound has to be released before the worker gets a lease, so each worker
  // with a bound is kept, whether it has runs or not.
  for (const auto& [id, record] : restored_)
    if (record.lease_left)
      workers_.FindOrAdd(id).description.id = id;
  for (auto& [id, worker] : workers_.All()) {
    worker.lease.Assume(acquired_at + longest_lease,
                        lease_basis::kEarlierOwner);
    const auto found = restored_.find(id);
    if (found != restored_.end())
      RestoreWorker(worker, found->second, acquired_at, now);
  }
  restored_.clear();
}

void worker_recorder::RestoreWorker(worker_entry& worker,
                                    const worker_record& record,
                                    base::time_point acquired_at,
                                    base::time_point now) {
  worker.recorded.address = record.address;
  if (!worker.listed)
    worker.description.address = record.address;
  if (!record.lease_left)
    return;
  // The record was committed before this owner acquired the shard.
  worker.lease.Restrict(acquired_at + *record.lease_left,
                        lease_basis::kRecordedBound);
  worker.recorded.lease = lease_record::kBounded;
  worker.recorded.lease_left = LeaseLeft(worker, now);
  worker.recorded.bounded_at = now;
}

void worker_recorder::Update(base::time_point now) {
  for (auto& [id, worker] : workers_.All())
    UpdateWorker(worker, now);
}

void worker_recorder::UpdateWorker(worker_entry& worker,
                                   base::time_point now) const {
  recorded_worker& recorded = worker.recorded;
  const bool is_needed = !worker.Answers() && !worker.runs.empty();
  if (recorded.lease == lease_record::kBounded && !is_needed) {
    recorded.lease = lease_record::kReleasing;
    recorded.release_batch.reset();
    recorded.is_due = true;
    return;
  }
  if (worker.runs.empty())
    return;
  const settings::endpoint& address = worker.description.address;
  if (address.port != 0 && address != recorded.address) {
    recorded.address = address;
    recorded.is_due = true;
  }
  if (!IsBoundDue(worker, now))
    return;
  recorded.lease = lease_record::kBounded;
  recorded.lease_left = LeaseLeft(worker, now);
  recorded.bounded_at = now;
  recorded.is_due = true;
}

bool worker_recorder::IsBoundDue(const worker_entry& worker,
                                 base::time_point now) const {
  if (!worker.silent_since ||
      now - *worker.silent_since < settings_.silence_before_record)
    return false;
  const recorded_worker& recorded = worker.recorded;
  return recorded.lease != lease_record::kBounded ||
         now - recorded.bounded_at >= settings_.bound_record_interval;
}

bool worker_recorder::HasDue() const {
  return std::ranges::any_of(workers_.All(), [](const auto& entry) {
    return entry.second.recorded.is_due;
  });
}

std::vector<worker_record> worker_recorder::TakeDue(std::uint64_t batch) {
  std::vector<worker_record> due;
  for (auto& [id, worker] : workers_.All()) {
    recorded_worker& recorded = worker.recorded;
    if (!std::exchange(recorded.is_due, false))
      continue;
    if (recorded.lease == lease_record::kReleasing)
      recorded.release_batch = batch;
    due.push_back(RecordOf(id, worker));
  }
  return due;
}

void worker_recorder::OnCommitted(std::uint64_t batch) {
  for (auto& [id, worker] : workers_.All()) {
    recorded_worker& recorded = worker.recorded;
    if (recorded.lease == lease_record::kReleasing &&
        recorded.release_batch == batch)
      recorded.lease = lease_record::kRenewable;
  }
}

std::vector<worker_record> worker_recorder::All() const {
  std::vector<worker_record> records;
  for (const auto& [id, worker] : workers_.All())
    if (worker.recorded.address.port != 0 ||
        worker.recorded.lease == lease_record::kBounded)
      records.push_back(RecordOf(id, worker));
  return records;
}

bool worker_recorder::MayRenewLease(const worker_entry& worker) {
  return worker.recorded.lease == lease_record::kRenewable;
}

bool worker_recorder::MayStart(const worker_entry& worker) {
  return MayRenewLease(worker) &&
         worker.recorded.address == worker.description.address;
}

worker_record worker_recorder::RecordOf(const std::string& id,
                                        const worker_entry& worker) {
  worker_record record{id, worker.recorded.address};
  if (worker.recorded.lease == lease_record::kBounded)
    record.lease_left = worker.recorded.lease_left;
  return record;
}

}  // namespace chivecrank::submissions::internal
