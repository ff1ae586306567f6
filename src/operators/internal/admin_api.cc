#include "chivecrank/operators/admin_api.h"

#include <glog/logging.h>

#include <charconv>
#include <utility>

#include "chivecrank/configuration/codec.h"

namespace chivecrank::operators {
namespace {

using http::json_object;

json_object Summary(const configuration::snapshot& accepted) {
  json_object body = new Poco::JSON::Object;
  body->set("revision", accepted.revision);
  body->set("author", accepted.author);
  body->set("accepted_at_ms", accepted.accepted_at_ms);
  body->set("comment", accepted.comment);
  body->set("write_id", accepted.write_id);
  return body;
}

json_object Whole(const configuration::snapshot& accepted) {
  json_object body = Summary(accepted);
  body->set("content", configuration::EncodeContent(accepted.content));
  return body;
}

base::result<configuration::revision> ParseRevision(const std::string& text) {
  configuration::revision number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec == std::errc() && parsed.ptr == end)
    return number;
  return base::error{base::error_kind::kInvalidArgument,
                     "\"" + text + "\" is not a revision",
                     "give a whole number"};
}

}  // namespace

admin_api::admin_api(configuration::repository& accepted,
                     const operator_directory& directory,
                     fleet_hooks fleet)
    : accepted_(accepted), directory_(directory), fleet_(std::move(fleet)) {}

http::response admin_api::Answer(const http::request& message) {
  const answer result = Route(message);
  if (result.has_value())
    return http::JsonResponse(http::status::kOk, result.value());
  return http::ErrorResponse(result.error());
}

admin_api::answer admin_api::Route(const http::request& message) {
  const std::string_view path = message.Path();
  if (path == "/v1/configuration" && message.method == "GET")
    return GetConfiguration(message);
  if (path == "/v1/configuration" && message.method == "POST")
    return PostConfiguration(message);
  if (path == "/v1/history" && message.method == "GET")
    return GetHistory(message);
  if (path == "/v1/instances" && message.method == "GET")
    return GetInstances(message);
  return base::error{base::error_kind::kNotFound,
                     "there is no " + message.method + " " + std::string(path),
                     "see the API page in the documentation"};
}

admin_api::answer admin_api::GetConfiguration(const http::request& message) {
  BOOST_OUTCOME_TRY(directory_.Authorize(message.Header("Authorization"),
                                         operator_role::kViewer));
  const std::string wanted = message.Query("revision");
  if (wanted.empty()) {
    BOOST_OUTCOME_TRY(head, accepted_.Head());
    return Whole(head);
  }
  BOOST_OUTCOME_TRY(number, ParseRevision(wanted));
  BOOST_OUTCOME_TRY(past, accepted_.At(number));
  return Whole(past);
}

admin_api::answer admin_api::PostConfiguration(const http::request& message) {
  BOOST_OUTCOME_TRY(author,
                    directory_.Authorize(message.Header("Authorization"),
                                         operator_role::kEditor));
  BOOST_OUTCOME_TRY(body, http::ParseObject(message.body));
  const json_object encoded = http::ObjectOf(body, "content");
  if (!encoded || !body->has("base")) {
    return base::error{base::error_kind::kInvalidArgument,
                       "the change has no content or no base",
                       "send {\"base\": REVISION, \"content\": {...}}"};
  }
  BOOST_OUTCOME_TRY(content, configuration::DecodeContent(encoded));
  const auto base =
      static_cast<configuration::revision>(http::IntegerOf(body, "base"));
  BOOST_OUTCOME_TRY(
      accepted,
      accepted_.Accept({base, author.name, http::StringOf(body, "comment"),
                        content, http::StringOf(body, "write_id")}));
  fleet_.on_accepted(accepted);
  LOG(INFO) << "admin: accepted revision " << accepted.revision << " by "
            << accepted.author << ".";
  return Summary(accepted);
}

admin_api::answer admin_api::GetHistory(const http::request& message) {
  BOOST_OUTCOME_TRY(directory_.Authorize(message.Header("Authorization"),
                                         operator_role::kViewer));
  BOOST_OUTCOME_TRY(history, accepted_.History());
  http::json_array revisions = new Poco::JSON::Array;
  for (const configuration::snapshot& past : history)
    revisions->add(Summary(past));
  json_object body = new Poco::JSON::Object;
  body->set("revisions", revisions);
  return body;
}

admin_api::answer admin_api::GetInstances(const http::request& message) {
  BOOST_OUTCOME_TRY(directory_.Authorize(message.Header("Authorization"),
                                         operator_role::kViewer));
  http::json_array processes = new Poco::JSON::Array;
  for (const configuration::process_state& one : fleet_.fleet()) {
    json_object item = new Poco::JSON::Object;
    const membership::peer& who = one.process.who;
    item->set("instance", who.instance);
    item->set("daemon", std::string(membership::DaemonName(who.part)));
    item->set("failure_domain", who.failure_domain);
    item->set("address", settings::ToString(who.address));
    item->set("status",
              std::string(membership::MemberStatusName(one.process.status)));
    item->set("reached", one.reached);
    item->set("revision", one.in_force);
    processes->add(item);
  }
  json_object body = new Poco::JSON::Object;
  body->set("processes", processes);
  return body;
}

}  // namespace chivecrank::operators
