#include "chivecrank/operators/admin_api.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "chivecrank/configuration/codec.h"
#include "chivecrank/configuration/difference.h"
#include "chivecrank/configuration/validation.h"

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

json_object EncodeDifferences(const configuration::content& from,
                              const configuration::content& to) {
  http::json_array items = new Poco::JSON::Array;
  for (const configuration::difference& one :
       configuration::Compare(from, to)) {
    json_object item = new Poco::JSON::Object;
    item->set("change",
              std::string(configuration::DifferenceKindName(one.kind)));
    item->set("section", one.section);
    item->set("name", one.name);
    items->add(item);
  }
  json_object body = new Poco::JSON::Object;
  body->set("differences", items);
  return body;
}

base::result<configuration::drain> DecodeDrain(const json_object& body) {
  const std::string scope = http::StringOf(body, "scope");
  const std::string name = http::StringOf(body, "name");
  for (const auto known :
       {configuration::drain_scope::kWorker, configuration::drain_scope::kRack,
        configuration::drain_scope::kFailureDomain}) {
    if (configuration::DrainScopeName(known) == scope && !name.empty())
      return configuration::drain{known, name};
  }
  return base::error{
      base::error_kind::kInvalidArgument,
      "scope \"" + scope + "\" or name \"" + name + "\" is wrong",
      "give scope worker, rack or failure_domain, and a name"};
}

}  // namespace

struct admin_api::route {
  std::string_view method;
  std::string_view path;
  answer (admin_api::*run)(const http::request&);
};

admin_api::admin_api(configuration::repository& accepted,
                     const operator_directory& directory,
                     const fleet_api& fleet,
                     accepted_hook on_accepted)
    : accepted_(accepted),
      directory_(directory),
      fleet_(fleet),
      on_accepted_(std::move(on_accepted)) {}

http::response admin_api::Answer(const http::request& message) {
  if (message.method == "GET" && message.Path() == "/") {
    return {static_cast<int>(http::status::kOk),
            {{"Content-Type", "text/html; charset=utf-8"}},
            fleet_.Page()};
  }
  const answer result = Route(message);
  if (result.has_value())
    return http::JsonResponse(http::status::kOk, result.value());
  return http::ErrorResponse(result.error());
}

admin_api::answer admin_api::Route(const http::request& message) {
  static constexpr std::array routes = {
      route{"GET", "/v1/configuration", &admin_api::GetConfiguration},
      route{"POST", "/v1/configuration", &admin_api::PostConfiguration},
      route{"GET", "/v1/history", &admin_api::GetHistory},
      route{"GET", "/v1/difference", &admin_api::GetDifference},
      route{"POST", "/v1/rollback", &admin_api::PostRollback},
      route{"POST", "/v1/drain", &admin_api::PostDrain},
      route{"POST", "/v1/undrain", &admin_api::PostDrain},
      route{"GET", "/v1/instances", &admin_api::GetInstances},
      route{"GET", "/v1/workers", &admin_api::GetWorkers},
      route{"GET", "/v1/teams", &admin_api::GetTeams},
      route{"GET", "/v1/shards", &admin_api::GetShards},
      route{"GET", "/v1/status", &admin_api::GetStatus},
      route{"GET", "/v1/jobs", &admin_api::GetJob},
  };
  const std::string_view path = message.Path();
  for (const route& known : routes) {
    if (known.path == path && known.method == message.method)
      return (this->*known.run)(message);
  }
  return base::error{base::error_kind::kNotFound,
                     "there is no " + message.method + " " + std::string(path),
                     "see docs/openapi.yaml"};
}

base::result<operator_account> admin_api::Authorize(
    const http::request& message,
    operator_role needed) const {
  return directory_.Authorize(message.Header("Authorization"), needed);
}

admin_api::answer admin_api::GetConfiguration(const http::request& message) {
  BOOST_OUTCOME_TRY(Authorize(message, operator_role::kViewer));
  const std::string wanted = message.Query("revision");
  if (wanted.empty()) {
    BOOST_OUTCOME_TRY(head, accepted_.GetHead());
    return Whole(head);
  }
  BOOST_OUTCOME_TRY(number, ParseRevision(wanted));
  BOOST_OUTCOME_TRY(past, accepted_.GetRevision(number));
  return Whole(past);
}

admin_api::answer admin_api::PostConfiguration(const http::request& message) {
  BOOST_OUTCOME_TRY(author, Authorize(message, operator_role::kEditor));
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
  if (!http::BooleanOf(body, "dry_run")) {
    return Accept({base, author.name, http::StringOf(body, "comment"), content,
                   http::StringOf(body, "write_id")});
  }
  const auto faults = configuration::Validate(content);
  if (!faults.empty()) {
    return base::error{base::error_kind::kInvalidArgument,
                       configuration::Describe(faults),
                       "correct these values and apply again"};
  }
  BOOST_OUTCOME_TRY(head, accepted_.GetHead());
  json_object differences = EncodeDifferences(head.content, content);
  differences->set("revision", head.revision);
  return differences;
}

admin_api::answer admin_api::Accept(const configuration::proposal& change) {
  BOOST_OUTCOME_TRY(accepted, accepted_.Accept(change));
  on_accepted_(accepted);
  LOG(INFO) << "admin: accepted revision " << accepted.revision << " by "
            << accepted.author << ".";
  return Summary(accepted);
}

admin_api::answer admin_api::GetHistory(const http::request& message) {
  BOOST_OUTCOME_TRY(Authorize(message, operator_role::kViewer));
  BOOST_OUTCOME_TRY(history, accepted_.ListRevisions());
  http::json_array revisions = new Poco::JSON::Array;
  for (const configuration::snapshot& past : history)
    revisions->add(Summary(past));
  json_object body = new Poco::JSON::Object;
  body->set("revisions", revisions);
  return body;
}

admin_api::answer admin_api::GetDifference(const http::request& message) {
  BOOST_OUTCOME_TRY(Authorize(message, operator_role::kViewer));
  BOOST_OUTCOME_TRY(from, ParseRevision(message.Query("from")));
  BOOST_OUTCOME_TRY(to, ParseRevision(message.Query("to")));
  BOOST_OUTCOME_TRY(older, accepted_.GetRevision(from));
  BOOST_OUTCOME_TRY(newer, accepted_.GetRevision(to));
  return EncodeDifferences(older.content, newer.content);
}

admin_api::answer admin_api::PostRollback(const http::request& message) {
  BOOST_OUTCOME_TRY(author, Authorize(message, operator_role::kAdministrator));
  BOOST_OUTCOME_TRY(body, http::ParseObject(message.body));
  const auto wanted =
      static_cast<configuration::revision>(http::IntegerOf(body, "revision"));
  BOOST_OUTCOME_TRY(past, accepted_.GetRevision(wanted));
  BOOST_OUTCOME_TRY(head, accepted_.GetHead());
  return Accept({head.revision, author.name,
                 "rollback to revision " + std::to_string(wanted) + " " +
                     http::StringOf(body, "comment"),
                 past.content, ""});
}

admin_api::answer admin_api::PostDrain(const http::request& message) {
  BOOST_OUTCOME_TRY(author, Authorize(message, operator_role::kEditor));
  BOOST_OUTCOME_TRY(body, http::ParseObject(message.body));
  BOOST_OUTCOME_TRY(order, DecodeDrain(body));
  BOOST_OUTCOME_TRY(head, accepted_.GetHead());
  configuration::content content = head.content;
  std::erase_if(content.drains, [&](const configuration::drain& known) {
    return known.scope == order.scope && known.name == order.name;
  });
  const bool drains = message.Path() == "/v1/drain";
  if (drains)
    content.drains.push_back(order);
  return Accept({head.revision, author.name,
                 std::string(drains ? "drain " : "undrain ") +
                     std::string(configuration::DrainScopeName(order.scope)) +
                     " " + order.name + " " + http::StringOf(body, "comment"),
                 content, ""});
}

admin_api::answer admin_api::GetInstances(const http::request& message) {
  BOOST_OUTCOME_TRY(Authorize(message, operator_role::kViewer));
  return fleet_.Instances();
}

admin_api::answer admin_api::GetWorkers(const http::request& message) {
  BOOST_OUTCOME_TRY(Authorize(message, operator_role::kViewer));
  return fleet_.Workers();
}

admin_api::answer admin_api::GetTeams(const http::request& message) {
  BOOST_OUTCOME_TRY(Authorize(message, operator_role::kViewer));
  return fleet_.Teams();
}

admin_api::answer admin_api::GetShards(const http::request& message) {
  BOOST_OUTCOME_TRY(Authorize(message, operator_role::kViewer));
  return fleet_.Shards();
}

admin_api::answer admin_api::GetStatus(const http::request& message) {
  BOOST_OUTCOME_TRY(Authorize(message, operator_role::kViewer));
  const std::string wanted = message.Query("revision");
  if (!wanted.empty()) {
    BOOST_OUTCOME_TRY(number, ParseRevision(wanted));
    return fleet_.Status(number);
  }
  BOOST_OUTCOME_TRY(head, accepted_.GetHead());
  return fleet_.Status(head.revision);
}

admin_api::answer admin_api::GetJob(const http::request& message) {
  BOOST_OUTCOME_TRY(Authorize(message, operator_role::kViewer));
  return fleet_.Job({message.Query("account"), message.Query("job")});
}

}  // namespace chivecrank::operators
