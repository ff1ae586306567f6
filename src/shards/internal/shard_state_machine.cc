#include "internal/shard_state_machine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chivecrank::shards::internal {
namespace {

/// Whether the event is worth a write of its own. A confirmation is not: the
/// next owner learns it from its first sync of the worker.
bool IsWorthAWrite(const scheduling::event& recorded) {
  return !std::holds_alternative<scheduling::attempt_confirmed>(recorded);
}

/// Whether a caller or urgent work may wait for the event. Other events are
/// written together at intervals.
bool IsAwaited(const scheduling::event& recorded) {
  return std::holds_alternative<scheduling::task_accepted>(recorded) ||
         std::holds_alternative<scheduling::task_cancelled>(recorded) ||
         std::holds_alternative<scheduling::checkpoint_ordered>(recorded);
}

}  // namespace

const std::string& TaskOf(const scheduling::event& recorded) {
  return std::visit(
      [](const auto& known) -> const std::string& {
        using kind = std::decay_t<decltype(known)>;
        if constexpr (std::is_same_v<kind, scheduling::task_accepted>)
          return known.request.id;
        else
          return known.task_id;
      },
      recorded);
}

std::string ShortTextOf(const scheduling::event& recorded) {
  std::string text = std::to_string(recorded.index()) + TaskOf(recorded);
  if (const auto* start = std::get_if<scheduling::attempt_started>(&recorded))
    text += "#" + std::to_string(start->attempt) + "@" + start->worker_id;
  if (const auto* ended = std::get_if<scheduling::attempt_ended>(&recorded)) {
    text += "#" + std::to_string(ended->attempt) + "=" +
            std::to_string(static_cast<int>(ended->outcome)) + "+" +
            std::to_string(ended->saved_run_time.count());
  }
  return text + ";";
}

shard_state_machine::shard_state_machine(std::uint64_t epoch,
                                         protocol::lease_terms terms,
                                         base::time_point opened,
                                         applied_hook on_applied)
    : epoch_(epoch),
      terms_(terms),
      opened_(opened),
      on_applied_(std::move(on_applied)) {}

base::result<void> shard_state_machine::Replay(
    const scheduling::event& recorded) {
  BOOST_OUTCOME_TRY(state_.Apply(recorded));
  history_[TaskOf(recorded)].push_back(recorded);
  return base::Success();
}

base::result<event_position> shard_state_machine::Stage(
    std::vector<scheduling::event> events) {
  for (scheduling::event& recorded : events) {
    BOOST_OUTCOME_TRY(state_.Apply(recorded));
    if (const auto* start = std::get_if<scheduling::attempt_started>(&recorded))
      LinkOf(start->worker_id).AddPlanned({start->task_id, start->attempt});
    if (on_applied_)
      on_applied_(recorded, state_);
    unconfirmed_[TaskOf(recorded)] = ++staged_end_;
    write_due_ |= IsAwaited(recorded);
    worth_writing_ |= IsWorthAWrite(recorded);
    staged_.push_back(std::move(recorded));
  }
  return staged_end_;
}

const std::vector<scheduling::event>& shard_state_machine::TakeBatch(
    std::size_t limit) {
  if (!batch_.empty())
    return batch_;
  const std::size_t count = std::min(staged_.size(), limit);
  const auto end = staged_.begin() + static_cast<std::ptrdiff_t>(count);
  batch_.assign(std::make_move_iterator(staged_.begin()),
                std::make_move_iterator(end));
  staged_.erase(staged_.begin(), end);
  write_due_ = !staged_.empty();
  worth_writing_ = false;
  return batch_;
}

void shard_state_machine::RequeueBatch() {
  staged_.insert(staged_.begin(), batch_.begin(), batch_.end());
  batch_.clear();
  write_due_ = !staged_.empty();
}

std::set<std::string> shard_state_machine::OnConfirmed() {
  std::set<std::string> workers_to_sync;
  confirmed_ += batch_.size();
  for (scheduling::event& recorded : batch_) {
    const std::string id = TaskOf(recorded);
    const auto waiting = unconfirmed_.find(id);
    if (waiting != unconfirmed_.end() && waiting->second <= confirmed_)
      unconfirmed_.erase(waiting);
    const scheduling::task& known = *state_.Find(id);
    const auto* start = std::get_if<scheduling::attempt_started>(&recorded);
    if (!known.worker_id.empty()) {
      if (start != nullptr && start->attempt == known.attempt)
        LinkOf(known.worker_id).AddStart({id, start->attempt});
      // Send starts, cancellations and checkpoint requests at once instead of
      // with the next lease renewal.
      if (IsWorthAWrite(recorded))
        workers_to_sync.insert(known.worker_id);
    }
    history_[id].push_back(std::move(recorded));
  }
  batch_.clear();
  return workers_to_sync;
}

workers::sync_command shard_state_machine::NextSync(
    const std::string& worker_id,
    bool may_start) {
  return LinkOf(worker_id).NextSync(state_, confirmed_, may_start);
}

base::result<void> shard_state_machine::OnReport(
    const std::string& worker_id,
    const workers::sync_command& command,
    const workers::sync_report& report,
    base::time_point now) {
  worker_link& link = LinkOf(worker_id);
  BOOST_OUTCOME_TRY(position,
                    Stage(link.OnReport(command, report, state_, now)));
  link.OnStaged(position);
  return base::Success();
}

std::size_t shard_state_machine::StageLostAttempts(base::time_point now) {
  std::size_t count = 0;
  for (auto& [id, link] : links_) {
    auto lost = link.TakeLostAttempts(state_, now);
    count += lost.size();
    static_cast<void>(Stage(std::move(lost)));
  }
  return count;
}

worker_link& shard_state_machine::LinkOf(const std::string& worker_id) {
  const auto found = links_.find(worker_id);
  if (found != links_.end())
    return found->second;
  // A worker that this owner has not called yet may run attempts that the
  // previous owner started.
  return links_
      .emplace(worker_id, worker_link(worker_id, epoch_, terms_, opened_))
      .first->second;
}

event_position shard_state_machine::PositionOf(
    const std::string& task_id) const {
  const auto waiting = unconfirmed_.find(task_id);
  return waiting == unconfirmed_.end() ? 0 : waiting->second;
}

std::vector<scheduling::event> shard_state_machine::History() const {
  std::vector<scheduling::event> all;
  for (const auto& [id, events] : history_)
    all.insert(all.end(), events.begin(), events.end());
  return all;
}

std::string shard_state_machine::Fingerprint() const {
  std::string text = std::to_string(epoch_) + "/" +
                     std::to_string(opened_.time_since_epoch().count()) + "/" +
                     std::to_string(confirmed_);
  // The state follows from the events, so it is not included.
  for (const auto& [id, events] : history_) {
    for (const scheduling::event& recorded : events)
      text += ShortTextOf(recorded);
  }
  for (const auto* queue : {&batch_, &staged_}) {
    text += "|";
    for (const scheduling::event& recorded : *queue)
      text += ShortTextOf(recorded);
  }
  for (const auto& [id, link] : links_)
    text += id + link.Fingerprint();
  return text;
}

}  // namespace chivecrank::shards::internal
