#include "upstream_service.h"

#include <algorithm>
#include <utility>

namespace chivecrank::standin {

upstream_service::upstream_service(base::clock& clock,
                                   std::string worker,
                                   std::chrono::milliseconds service_time,
                                   std::int64_t slots)
    : clock_(clock),
      worker_(std::move(worker)),
      service_time_(service_time),
      slots_(slots) {}

http::response upstream_service::Answer(const http::request& message) {
  if (message.Path() == "/control/account")
    return Account();
  if (message.Path() == "/control/freeze")
    return Freeze();
  if (message.Path() == "/probe")
    return {static_cast<int>(http::status::kOk), {}, "ok"};
  const std::string identifier(message.Header("Chivecrank-Request-Id"));
  {
    std::unique_lock lock(mutex_);
    HangWhileFrozen(lock);
    ++runs_[identifier];
    last_start_ = clock_.WallNow();
    ++in_flight_;
    highest_in_flight_ = std::max(highest_in_flight_, in_flight_);
  }
  clock_.SleepUntil(clock_.Now() + service_time_);
  {
    std::unique_lock lock(mutex_);
    HangWhileFrozen(lock);
    --in_flight_;
  }
  return {static_cast<int>(http::status::kOk),
          {{"X-Worker", worker_},
           {"X-Request", identifier},
           {"Chivecrank-Request-Id", identifier}},
          "answer to " + message.body};
}

http::response upstream_service::Freeze() {
  {
    std::lock_guard lock(mutex_);
    frozen_ = true;
  }
  return Account();
}

void upstream_service::HangWhileFrozen(std::unique_lock<std::mutex>& lock) {
  thawed_.wait(lock, [this] { return !frozen_; });
}

http::response upstream_service::Account() {
  std::lock_guard lock(mutex_);
  http::json_object runs = new Poco::JSON::Object;
  for (const auto& [identifier, count] : runs_)
    runs->set(identifier, count);
  http::json_object account = new Poco::JSON::Object;
  account->set("runs", runs);
  account->set("highest_in_flight", highest_in_flight_);
  account->set("last_start_ms",
               static_cast<Poco::Int64>(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       last_start_.time_since_epoch())
                       .count()));
  account->set("overcommitted", highest_in_flight_ > slots_);
  return http::JsonResponse(http::status::kOk, account);
}

}  // namespace chivecrank::standin
