#include "chivecrank/coordination/http_store.h"

#include <utility>

#include "chivecrank/coordination/store_codec.h"

namespace chivecrank::coordination {
namespace {

using http::json_object;

json_object NewObject() {
  return new Poco::JSON::Object;
}

json_object LeaseBody(lease_id lease) {
  json_object body = NewObject();
  body->set("lease", lease);
  return body;
}

}  // namespace

http_store::http_store(settings::endpoint address,
                       std::chrono::milliseconds timeout)
    : client_(std::move(address)), timeout_(timeout) {}

base::result<json_object> http_store::Call(const std::string& operation,
                                           const json_object& body) {
  return client_.PostJson("/v1/" + operation, body, timeout_);
}

base::result<std::optional<store_entry>> http_store::Get(
    call_class purpose,
    const std::string& key) {
  json_object body = NewObject();
  body->set("key", key);
  body->set("class", std::string(CallClassName(purpose)));
  const auto answer = Call("get", body);
  if (answer.has_value())
    return std::optional<store_entry>(DecodeEntry(answer.value()));
  if (answer.error().kind == base::error_kind::kNotFound)
    return std::optional<store_entry>();
  return answer.error();
}

base::result<version> http_store::Put(call_class purpose,
                                      const put_request& write) {
  json_object body = EncodePut(write);
  body->set("class", std::string(CallClassName(purpose)));
  BOOST_OUTCOME_TRY(answer, Call("put", body));
  return static_cast<version>(http::IntegerOf(answer, "version"));
}

base::result<void> http_store::Delete(call_class purpose,
                                      const std::string& key,
                                      version expected) {
  json_object body = NewObject();
  body->set("key", key);
  body->set("expected", expected);
  body->set("class", std::string(CallClassName(purpose)));
  BOOST_OUTCOME_TRY(Call("delete", body));
  return base::Success();
}

base::result<store_listing> http_store::List(call_class purpose,
                                             const std::string& prefix) {
  json_object body = NewObject();
  body->set("prefix", prefix);
  body->set("class", std::string(CallClassName(purpose)));
  BOOST_OUTCOME_TRY(answer, Call("list", body));
  return DecodeListing(answer);
}

base::result<watch_answer> http_store::Watch(const watch_request& request) {
  BOOST_OUTCOME_TRY(answer,
                    client_.PostJson("/v1/watch", EncodeWatchRequest(request),
                                     timeout_ + request.wait));
  return DecodeWatchAnswer(answer);
}

base::result<lease_id> http_store::GrantLease(std::chrono::milliseconds term) {
  json_object body = NewObject();
  body->set("term_ms", static_cast<Poco::Int64>(term.count()));
  BOOST_OUTCOME_TRY(answer, Call("lease/grant", body));
  return static_cast<lease_id>(http::IntegerOf(answer, "lease"));
}

base::result<void> http_store::RenewLease(lease_id lease) {
  BOOST_OUTCOME_TRY(Call("lease/renew", LeaseBody(lease)));
  return base::Success();
}

base::result<void> http_store::RevokeLease(lease_id lease) {
  BOOST_OUTCOME_TRY(Call("lease/revoke", LeaseBody(lease)));
  return base::Success();
}

}  // namespace chivecrank::coordination
