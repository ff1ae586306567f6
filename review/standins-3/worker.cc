#include "worker.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include "gang_hub.h"
#include "http.h"
#include "record.h"

namespace review {
namespace {

constexpr std::chrono::milliseconds kTick{5};
constexpr std::int64_t kStartupMs = 300;
constexpr int kFullPercent = 100;
constexpr std::int64_t kCheckpointIntervalMs = 1000;
constexpr char kCheckpointMark[] = "cp-";
constexpr std::chrono::milliseconds kGangInterval{25};
constexpr std::size_t kMaxEndsListed = 500;

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

std::string TextOf(const rapidjson::Value& from, const char* name) {
  const auto found = from.FindMember(name);
  return found != from.MemberEnd() && found->value.IsString()
             ? found->value.GetString()
             : "";
}

std::int64_t NumberOf(const rapidjson::Value& from, const char* name) {
  const auto found = from.FindMember(name);
  return found != from.MemberEnd() && found->value.IsInt64()
             ? found->value.GetInt64()
             : 0;
}

struct run {
  std::int64_t number = 0;
  /// 0 for a task that works alone.
  std::size_t gang_size = 0;
  gang_state state = gang_state::kWorking;
  /// The checkpoint that the start carried, and the newest.
  std::string carried;
  std::string saved;
  /// 0 for a task that lasts.
  std::int64_t work_ms = 0;
  double worked_ms = 0;
  bool saves = false;
  /// Ends as failed halfway.
  bool fails = false;
  std::int64_t started_at_ms = 0;
  int pace = kFullPercent;
};

/// The step and the run, which all members of a gang share.
std::string GangOf(const std::string& task, std::int64_t number) {
  return task.substr(0, task.rfind('.')) + "-" + std::to_string(number);
}

std::int64_t NumberAfter(const std::string& text, const std::string& mark) {
  const std::size_t at = text.find(mark);
  return at == std::string::npos
             ? 0
             : std::strtoll(text.c_str() + at + mark.size(), nullptr, 10);
}

struct end {
  std::int64_t number = 0;
  std::string task;
  std::int64_t run = 0;
  std::string how;
  std::string saved;
};

class worker {
 public:
  explicit worker(const worker_settings& settings)
      : settings_(settings), born_ms_(record::WallMs()) {}

  std::optional<http::response> Handle(const http::request& asked) {
    if (asked.path == "/health")
      return http::response{200, ""};
    const auto named = asked.headers.find("expect-instance");
    if (named != asked.headers.end() && named->second != settings_.id)
      return http::response{421, Body("")};
    rapidjson::Document body;
    body.Parse(asked.body.c_str());
    if (!body.IsObject())
      return http::response{400, Body("")};
    std::unique_lock lock(mutex_);
    const std::int64_t fence = NumberOf(body, "FenceToken");
    if (fence < fence_)
      return http::response{409, Body("\"Reason\":\"fence\"")};
    fence_ = fence;
    if (asked.path == "/-/run-start")
      return Start(body);
    if (asked.path == "/-/run-stop")
      return Stop(body);
    if (asked.path == "/-/pace")
      return Pace(body);
    if (asked.path == "/-/hold")
      return Hold(body, lock);
    return http::response{404, ""};
  }

  void Tick() {
    const std::lock_guard lock(mutex_);
    const std::int64_t now = record::SteadyMs();
    const auto passed = static_cast<double>(now - ticked_at_ms_);
    ticked_at_ms_ = now;
    if (!runs_.empty() && ClockMs() > deadline_ms_) {
      for (const auto& [task, lapsed] : runs_)
        AddEnd(task, lapsed, "lapsed");
      runs_.clear();
    }
    for (auto next = runs_.begin(); next != runs_.end();) {
      run& working = next->second;
      if (working.state == gang_state::kWorking)
        Work(working, passed * working.pace / kFullPercent);
      const std::string how = HowEnded(working, now);
      if (how.empty()) {
        ++next;
        continue;
      }
      AddEnd(next->first, working, how);
      next = runs_.erase(next);
    }
  }

  /// Asks after the gangs of its runs.
  void MeetGangs() {
    std::map<std::string, run> members;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& [task, working] : runs_)
        if (working.gang_size > 0)
          members[task] = working;
    }
    for (const auto& [task, member] : members) {
      const gang_state state =
          ReportMember(settings_.hub_port, GangOf(task, member.number), task,
                       member.carried, member.gang_size, IsWorkDone(member));
      const std::lock_guard lock(mutex_);
      const auto known = runs_.find(task);
      if (known != runs_.end() && known->second.number == member.number)
        known->second.state = state;
    }
  }

  std::string Entry() const {
    return "{\"Service\":\"" + settings_.service +
           "\",\"Address\":\"127.0.0.1:" + std::to_string(settings_.port) +
           "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":8,"
           "\"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{\"Cpu\":" +
           std::to_string(settings_.cpu) +
           ",\"MemMb\":" + std::to_string(settings_.mem_mb) +
           ",\"Gpu\":0},\"Labels\":[\"" + settings_.kind + "\",\"" +
           settings_.rack +
           "\"],\"Seq\":1,\"born\":" + std::to_string(born_ms_) + "}";
  }

 private:
  std::int64_t ClockMs() const { return record::SteadyMs() - up_since_ms_; }

  std::string Body(const std::string& fields) const {
    return "{\"ClockMs\":" + std::to_string(ClockMs()) +
           ",\"born\":" + std::to_string(born_ms_) +
           (fields.empty() ? "" : "," + fields) + "}";
  }

  void TakeDeadline(const rapidjson::Value& body) {
    const std::int64_t wanted = std::min(NumberOf(body, "DeadlineMs"),
                                         ClockMs() + settings_.hold_max_ms);
    deadline_ms_ = std::max(deadline_ms_, wanted);
  }

  static bool IsWorkDone(const run& working) {
    return working.work_ms > 0 &&
           working.worked_ms >= static_cast<double>(working.work_ms);
  }

  /// Whether the text says that the first run of this task fails.
  static bool FailsFirst(const std::string& spec, const std::string& task) {
    const std::string mark = "first-fails=";
    return spec.find(mark) != std::string::npos &&
           task.ends_with("." + std::to_string(NumberAfter(spec, mark)));
  }

  static void Work(run& working, double for_ms) {
    working.worked_ms += for_ms;
    const auto saved = static_cast<std::int64_t>(working.worked_ms) /
                       kCheckpointIntervalMs * kCheckpointIntervalMs;
    if (working.saves && saved > 0)
      working.saved = kCheckpointMark + std::to_string(saved);
  }

  /// Empty while the run goes on.
  std::string HowEnded(const run& working, std::int64_t now) const {
    if (working.fails &&
        2 * working.worked_ms >= static_cast<double>(working.work_ms))
      return "failed";
    if (working.gang_size == 0)
      return IsWorkDone(working) ? "done" : "";
    switch (working.state) {
      case gang_state::kDone:
        return "done";
      case gang_state::kBroken:
        return "broken";
      case gang_state::kWorking:
        return "";
      case gang_state::kWaiting:
        break;
    }
    return now - working.started_at_ms >= settings_.gang_timeout_ms ? "alone"
                                                                    : "";
  }

  http::response Start(const rapidjson::Value& body) {
    const std::string task = TextOf(body, "Task");
    const std::int64_t number = NumberOf(body, "Run");
    if (!body.HasMember("DeadlineMs") || task.empty() || number < 1)
      return {400, Body("")};
    TakeDeadline(body);
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number == number)
      return {200, Body("")};
    if (number <= closed_[task])
      return {409, Body("\"Reason\":\"old\"")};
    if (NumberOf(body, "DeadlineMs") <= ClockMs())
      return {409, Body("\"Reason\":\"late\"")};
    const std::string spec = TextOf(body, "Spec");
    run& started = runs_[task];
    started = {};
    started.number = number;
    started.started_at_ms = record::SteadyMs();
    started.work_ms = NumberAfter(spec, "ms=");
    started.gang_size = static_cast<std::size_t>(NumberAfter(spec, "gang="));
    started.fails = number == 1 && FailsFirst(spec, task);
    started.saves = spec.find("saves") != std::string::npos;
    started.carried = TextOf(body, "LastCheckpoint");
    started.saved = started.carried;
    started.worked_ms =
        static_cast<double>(NumberAfter(started.carried, kCheckpointMark));
    if (started.gang_size > 0)
      started.state = gang_state::kWaiting;
    record::Write("worker " + settings_.id + " starts " + task + " run " +
                  std::to_string(number) + " kind=" + settings_.kind +
                  " checkpoint=" + started.carried + " spec=" + spec);
    return {200, Body("")};
  }

  http::response Stop(const rapidjson::Value& body) {
    const std::string task = TextOf(body, "Task");
    const std::int64_t number = NumberOf(body, "Run");
    const auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number <= number) {
      AddEnd(task, known->second, "stopped");
      runs_.erase(known);
    }
    closed_[task] = std::max(closed_[task], number);
    return {200, Body("")};
  }

  http::response Pace(const rapidjson::Value& body) {
    const auto known = runs_.find(TextOf(body, "Task"));
    if (known != runs_.end() && known->second.number == NumberOf(body, "Run"))
      known->second.pace = static_cast<int>(NumberOf(body, "Percent"));
    return {200, Body("")};
  }

  http::response Hold(const rapidjson::Value& body,
                      std::unique_lock<std::mutex>& lock) {
    TakeDeadline(body);
    const std::int64_t seen = NumberOf(body, "LastSeen");
    while (!ends_.empty() && ends_.front().number <= seen) {
      record::Write("worker " + settings_.id + " end noted " +
                    ends_.front().task + " run " +
                    std::to_string(ends_.front().run) + " " +
                    ends_.front().how);
      ends_.pop_front();
    }
    ended_.wait_for(lock, std::chrono::milliseconds(NumberOf(body, "WaitMs")),
                    [this] { return !ends_.empty(); });
    rapidjson::StringBuffer buffer;
    json_writer text(buffer);
    text.StartArray();
    for (const auto& [task, working] : runs_) {
      text.StartArray();
      text.String(task.c_str());
      text.Int64(working.number);
      text.String(working.saved.c_str());
      text.Int(PercentOf(working));
      text.Int(1);
      text.EndArray();
    }
    text.EndArray();
    const std::string running = buffer.GetString();
    buffer.Clear();
    text.Reset(buffer);
    text.StartArray();
    for (std::size_t i = 0; i < std::min(ends_.size(), kMaxEndsListed); ++i) {
      text.StartArray();
      text.Int64(ends_[i].number);
      text.String(ends_[i].task.c_str());
      text.Int64(ends_[i].run);
      text.String(ends_[i].how.c_str());
      text.String(ends_[i].saved.c_str());
      text.EndArray();
    }
    text.EndArray();
    return {200, Body("\"Running\":" + running +
                      ",\"Ended\":" + buffer.GetString())};
  }

  static int PercentOf(const run& working) {
    const double whole = working.work_ms == 0
                             ? static_cast<double>(kStartupMs)
                             : static_cast<double>(working.work_ms);
    return static_cast<int>(std::min(1.0, working.worked_ms / whole) *
                            kFullPercent);
  }

  void AddEnd(const std::string& task,
              const run& ended,
              const std::string& how) {
    ends_.push_back({++last_end_, task, ended.number, how, ended.saved});
    closed_[task] = std::max(closed_[task], ended.number);
    record::Write("worker " + settings_.id + " ends " + task + " run " +
                  std::to_string(ended.number) + " " + how +
                  " checkpoint=" + ended.saved);
    ended_.notify_all();
  }

  const worker_settings settings_;
  const std::int64_t born_ms_;
  const std::int64_t up_since_ms_ = record::SteadyMs();
  std::mutex mutex_;
  std::condition_variable ended_;
  std::int64_t fence_ = 0;
  std::int64_t deadline_ms_ = 0;
  std::int64_t ticked_at_ms_ = record::SteadyMs();
  std::int64_t last_end_ = 0;
  std::map<std::string, run> runs_;
  std::deque<end> ends_;
  /// The highest run of each task that was stopped or has ended.
  std::map<std::string, std::int64_t> closed_;
};

}  // namespace

int RunWorker(const worker_settings& settings) {
  worker served(settings);
  if (!http::Serve(settings.port, [&served](const http::request& asked) {
        return served.Handle(asked);
      }))
    return 2;
  record::Write("worker " + settings.id + " is up");
  std::thread([&] {
    while (true) {
      http::Call({settings.store_port,
                  "POST",
                  "/worker/" + settings.id,
                  {},
                  served.Entry()});
      std::this_thread::sleep_for(
          std::chrono::milliseconds(settings.heartbeat_ms));
    }
  }).detach();
  std::thread([&served] {
    while (true) {
      std::this_thread::sleep_for(kGangInterval);
      served.MeetGangs();
    }
  }).detach();
  while (true) {
    std::this_thread::sleep_for(kTick);
    served.Tick();
  }
}

}  // namespace review
