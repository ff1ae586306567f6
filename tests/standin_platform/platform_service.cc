#include "platform_service.h"

#include "chivecrank/coordination/store_codec.h"

namespace chivecrank::standin {
namespace {

using http::json_object;

constexpr std::chrono::milliseconds kWatchPoll{10};
constexpr std::string_view kControl = "/control/";
constexpr std::string_view kInterface = "/v1/";

json_object NewObject() {
  return new Poco::JSON::Object;
}

coordination::call_class AnyClass() {
  return coordination::call_class::kJournal;
}

coordination::lease_id LeaseOf(const json_object& body) {
  return static_cast<coordination::lease_id>(http::IntegerOf(body, "lease"));
}

}  // namespace

platform_service::platform_service(base::clock& clock, std::uint64_t seed)
    : clock_(clock), store_(clock), random_(seed), instances_(NewObject()) {
  instances_->set("instances", http::json_array(new Poco::JSON::Array));
}

platform_service::~platform_service() {
  for (std::thread& late : late_writes_)
    late.join();
}

http::response platform_service::Answer(const http::request& message) {
  const auto parsed = http::ParseObject(message.body);
  if (!parsed.has_value())
    return http::ErrorResponse(parsed.error());
  const std::string_view path = message.Path();
  if (path.starts_with(kControl))
    return Control(path.substr(kControl.size()), parsed.value());
  if (!path.starts_with(kInterface)) {
    return http::ErrorResponse({base::error_kind::kNotFound, "no such path",
                                "call the paths under /v1"});
  }
  const std::string operation(path.substr(kInterface.size()));
  Count(operation, parsed.value());
  const fault_settings faults = Faults();
  if (faults.delay.count() > 0)
    clock_.SleepUntil(clock_.Now() + faults.delay);
  if (faults.down) {
    return http::ErrorResponse({base::error_kind::kUnavailable,
                                "the store is down", "try again later"});
  }
  if (operation == "put" && Happens(faults.late_writes)) {
    PutLater(parsed.value(), faults.late_by);
    return http::ErrorResponse({base::error_kind::kOutcomeUnknown,
                                "the answer was lost",
                                "read back, then decide"});
  }
  const answer result = Operate(operation, parsed.value());
  if (LosesAnswer(operation)) {
    return http::ErrorResponse({base::error_kind::kOutcomeUnknown,
                                "the answer was lost",
                                "read back, then decide"});
  }
  if (!result.has_value())
    return http::ErrorResponse(result.error());
  return http::JsonResponse(http::status::kOk, result.value());
}

http::response platform_service::Control(std::string_view path,
                                         const json_object& body) {
  std::lock_guard lock(mutex_);
  if (path == "faults")
    faults_ = DecodeFaults(body);
  if (path == "instances")
    instances_ = body;
  json_object counts = NewObject();
  for (const auto& [name, count] : calls_)
    counts->set(name, count);
  return http::JsonResponse(http::status::kOk, counts);
}

platform_service::answer platform_service::Operate(std::string_view operation,
                                                   const json_object& body) {
  if (operation == "get")
    return Get(body);
  if (operation == "put")
    return Put(body);
  if (operation == "delete")
    return Delete(body);
  if (operation == "list")
    return List(body);
  if (operation == "watch")
    return Watch(body);
  if (operation == "lease/grant")
    return GrantLease(body);
  if (operation == "lease/renew")
    return RenewLease(body);
  if (operation == "lease/revoke")
    return RevokeLease(body);
  if (operation == "instances")
    return Instances();
  return base::error{base::error_kind::kNotFound, "no such operation",
                     "see docs/WIRE.md"};
}

platform_service::answer platform_service::Get(const json_object& body) {
  const std::string key = http::StringOf(body, "key");
  BOOST_OUTCOME_TRY(found, store_.Get(AnyClass(), key));
  if (Happens(Faults().stale_reads)) {
    std::lock_guard lock(mutex_);
    const auto older = previous_.find(key);
    if (older != previous_.end())
      return coordination::EncodeEntry(older->second);
  }
  if (found)
    return coordination::EncodeEntry(*found);
  return base::error{base::error_kind::kNotFound, "no key " + key,
                     "create it first"};
}

platform_service::answer platform_service::Put(const json_object& body) {
  const coordination::put_request write = coordination::DecodePut(body);
  BOOST_OUTCOME_TRY(before, store_.Get(AnyClass(), write.key));
  BOOST_OUTCOME_TRY(version, store_.Put(AnyClass(), write));
  if (before) {
    std::lock_guard lock(mutex_);
    previous_[write.key] = *before;
  }
  json_object result = NewObject();
  result->set("version", version);
  return result;
}

platform_service::answer platform_service::Delete(const json_object& body) {
  const auto expected =
      static_cast<coordination::version>(http::IntegerOf(body, "expected"));
  BOOST_OUTCOME_TRY(
      store_.Delete(AnyClass(), http::StringOf(body, "key"), expected));
  return NewObject();
}

platform_service::answer platform_service::List(const json_object& body) {
  BOOST_OUTCOME_TRY(listing,
                    store_.List(AnyClass(), http::StringOf(body, "prefix")));
  return coordination::EncodeListing(listing);
}

platform_service::answer platform_service::Watch(const json_object& body) {
  const coordination::watch_request request =
      coordination::DecodeWatchRequest(body);
  const base::time_point deadline = clock_.Now() + request.wait;
  while (true) {
    BOOST_OUTCOME_TRY(seen, store_.Watch(request));
    const bool finished = !seen.changes.empty() || seen.gap ||
                          clock_.Now() >= deadline || Faults().down;
    if (finished)
      return coordination::EncodeWatchAnswer(seen);
    clock_.SleepUntil(clock_.Now() + kWatchPoll);
  }
}

platform_service::answer platform_service::GrantLease(const json_object& body) {
  const std::chrono::milliseconds term(http::IntegerOf(body, "term_ms"));
  BOOST_OUTCOME_TRY(lease, store_.GrantLease(term));
  json_object result = NewObject();
  result->set("lease", lease);
  return result;
}

platform_service::answer platform_service::RenewLease(const json_object& body) {
  BOOST_OUTCOME_TRY(store_.RenewLease(LeaseOf(body)));
  return NewObject();
}

platform_service::answer platform_service::RevokeLease(
    const json_object& body) {
  BOOST_OUTCOME_TRY(store_.RevokeLease(LeaseOf(body)));
  return NewObject();
}

platform_service::answer platform_service::Instances() {
  std::lock_guard lock(mutex_);
  return instances_;
}

fault_settings platform_service::Faults() {
  std::lock_guard lock(mutex_);
  return faults_;
}

void platform_service::Count(const std::string& operation,
                             const json_object& body) {
  std::string purpose = http::StringOf(body, "class");
  if (operation == "watch") {
    const std::string prefix = http::StringOf(body, "prefix");
    purpose = prefix.substr(0, prefix.find('/'));
  }
  std::lock_guard lock(mutex_);
  ++calls_[purpose.empty() ? operation : operation + "/" + purpose];
}

bool platform_service::LosesAnswer(std::string_view operation) {
  if (operation != "put" && operation != "delete")
    return false;
  return Happens(Faults().lost_answers);
}

bool platform_service::Happens(double share) {
  std::lock_guard lock(mutex_);
  std::uniform_real_distribution<double> drawn(0, 1);
  return drawn(random_) < share;
}

void platform_service::PutLater(const json_object& body,
                                std::chrono::milliseconds late_by) {
  std::lock_guard lock(mutex_);
  late_writes_.emplace_back([this, body, late_by] {
    clock_.SleepUntil(clock_.Now() + late_by);
    static_cast<void>(Put(body));
  });
}

}  // namespace chivecrank::standin
