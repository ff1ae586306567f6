#include "configuration_operator.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace chivecrank::harness {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{15'000};
constexpr std::chrono::milliseconds kPause{20};

http::json_object NewTeam(const std::string& name) {
  http::json_object team = new Poco::JSON::Object;
  team->set("name", name);
  return team;
}

bool IsConflict(const base::error& failure) {
  return failure.kind == base::error_kind::kConflict;
}

}  // namespace

configuration_operator::configuration_operator(settings::endpoint admin,
                                               std::string name)
    : client_(std::move(admin)), name_(std::move(name)) {}

base::result<http::json_object> configuration_operator::Get(
    const std::string& target) {
  return Call({"GET", target, {}, ""});
}

base::result<http::json_object> configuration_operator::Post(
    const std::string& target,
    const http::json_object& body) {
  return Call({"POST", target, {}, http::ToText(body)});
}

std::int64_t configuration_operator::AddTeam(const std::string& team,
                                             std::chrono::seconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  http::json_object change;
  int tries = 0;
  while (std::chrono::steady_clock::now() < end) {
    if (!change) {
      const auto head = Get("/v1/configuration");
      if (!head.has_value()) {
        std::this_thread::sleep_for(kPause);
        continue;
      }
      http::json_object content = http::ObjectOf(head.value(), "content");
      http::json_array teams = http::ArrayOf(content, "teams");
      teams->add(NewTeam(team));
      content->set("teams", teams);
      change = new Poco::JSON::Object;
      change->set("base", http::IntegerOf(head.value(), "revision"));
      change->set("comment", team);
      change->set("write_id", team + "#" + std::to_string(++tries));
      change->set("content", content);
    }
    const auto accepted = Post("/v1/configuration", change);
    if (accepted.has_value())
      return http::IntegerOf(accepted.value(), "revision");
    if (IsConflict(accepted.error()))
      change = nullptr;
    else
      std::this_thread::sleep_for(kPause);
  }
  return 0;
}

std::vector<std::string> configuration_operator::Comments() {
  std::vector<std::string> all;
  const auto history = Get("/v1/history");
  if (!history.has_value())
    return all;
  const http::json_array items = http::ArrayOf(history.value(), "revisions");
  for (unsigned i = 0; i < items->size(); ++i)
    all.push_back(http::StringOf(items->getObject(i), "comment"));
  return all;
}

std::set<std::string> configuration_operator::Teams(std::int64_t revision) {
  std::set<std::string> names;
  const auto found = Get(revision == 0 ? "/v1/configuration"
                                       : "/v1/configuration?revision=" +
                                             std::to_string(revision));
  if (!found.has_value())
    return names;
  const http::json_array teams =
      http::ArrayOf(http::ObjectOf(found.value(), "content"), "teams");
  for (unsigned i = 0; i < teams->size(); ++i)
    names.insert(http::StringOf(teams->getObject(i), "name"));
  return names;
}

std::int64_t configuration_operator::LowestInForce() {
  const auto fleet = Get("/v1/instances");
  if (!fleet.has_value())
    return -1;
  const http::json_array all = http::ArrayOf(fleet.value(), "processes");
  std::int64_t lowest = INT64_MAX;
  for (unsigned i = 0; i < all->size(); ++i) {
    const http::json_object one = all->getObject(i);
    if (!http::BooleanOf(one, "reached"))
      return -1;
    lowest = std::min(lowest, http::IntegerOf(one, "revision"));
  }
  return lowest;
}

base::result<http::json_object> configuration_operator::Call(
    http::request message) {
  message.headers.push_back({"Authorization", "Bearer " + name_ + "-token"});
  BOOST_OUTCOME_TRY(answer, client_.Call(message, kCallTimeout));
  if (answer.code != static_cast<int>(http::status::kOk))
    return http::ErrorOf(answer);
  return http::ParseObject(answer.body);
}

}  // namespace chivecrank::harness
