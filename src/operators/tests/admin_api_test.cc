#include "chivecrank/operators/admin_api.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/coordination/memory_store.h"
#include "chivecrank/security/token.h"

namespace chivecrank::operators {
namespace {

constexpr char kChange[] = R"({"base":0,"content":{"teams":[{"name":"a"}]}})";

struct no_instances final : coordination::instance_list {
  base::result<std::vector<coordination::instance>> List() override {
    coordination::instance worker;
    worker.id = "<w>";
    return std::vector{worker};
  }
};

struct fixed_view final : configuration::view {
  configuration::shared_snapshot Current() const override { return held; }
  configuration::shared_snapshot held =
      std::make_shared<const configuration::snapshot>();
};

struct fixture {
  base::manual_clock clock;
  coordination::memory_store store{clock};
  configuration::repository accepted{store, clock, [] { return "w"; }};
  operator_directory directory{
      {{"mere", operator_role::kEditor, security::HashToken("edit")},
       {"jone", operator_role::kViewer, security::HashToken("view")},
       {"sala", operator_role::kAdministrator, security::HashToken("all")}}};
  int published = 0;
  no_instances listed;
  fixed_view configured;
  fleet_api fleet{listed,
                  configured,
                  {[] { return std::vector<configuration::process_state>(1); },
                   [] { return std::vector<ownership::owner>(); },
                   [](const auto&) { return instances::job_report{}; }}};
  admin_api api{accepted, directory, fleet,
                [this](const auto&) { ++published; }};

  int Post(const std::string& token,
           const std::string& body,
           const std::string& path = "/v1/configuration") {
    http::request message{"POST", path, {}, body};
    if (!token.empty())
      message.headers.push_back({"Authorization", "Bearer " + token});
    return api.Answer(message).code;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(admin_api_suite, fixture)

BOOST_AUTO_TEST_CASE(RefusalsChangeNothing) {
  BOOST_TEST(Post("", kChange) == 401);
  BOOST_TEST(Post("wrong", kChange) == 401);
  BOOST_TEST(Post("view", kChange) == 403);
  BOOST_TEST(Post("edit", "{}") == 400);
  BOOST_TEST(accepted.GetHead().value().revision == 0);
}

BOOST_AUTO_TEST_CASE(EditorChangesAndSecondGetsAConflict) {
  BOOST_TEST(Post("edit", kChange) == 200);
  BOOST_TEST(Post("edit", kChange) == 409);
  BOOST_TEST(published == 1);
  BOOST_TEST(accepted.GetHead().value().revision == 1);
}

BOOST_AUTO_TEST_CASE(DryRunChangesNothing) {
  BOOST_TEST(Post("edit", R"({"base":0,"dry_run":true,"content":{}})") == 200);
  BOOST_TEST(accepted.GetHead().value().revision == 0);
}

BOOST_AUTO_TEST_CASE(RollbackIsANewRevisionWithOldContent) {
  BOOST_REQUIRE(Post("edit", kChange) == 200);
  BOOST_REQUIRE(Post("edit", R"({"base":1,"content":{}})") == 200);
  const std::string to_first = R"({"revision":1})";
  BOOST_TEST(Post("edit", to_first, "/v1/rollback") == 403);
  BOOST_TEST(Post("all", to_first, "/v1/rollback") == 200);
  const configuration::snapshot head = accepted.GetHead().value();
  BOOST_TEST(head.revision == 3);
  BOOST_TEST(head.author == "sala");
  BOOST_TEST(head.content.teams.size() == 1);
}

BOOST_AUTO_TEST_CASE(DrainAndUndrainAreRevisions) {
  const std::string rack = R"({"scope":"rack","name":"r1"})";
  BOOST_TEST(Post("view", rack, "/v1/drain") == 403);
  BOOST_TEST(Post("edit", R"({"scope":"shelf","name":"r1"})", "/v1/drain") ==
             400);
  BOOST_TEST(Post("edit", rack, "/v1/drain") == 200);
  BOOST_TEST(accepted.GetHead().value().content.drains.size() == 1);
  BOOST_TEST(Post("edit", rack, "/v1/undrain") == 200);
  BOOST_TEST(accepted.GetHead().value().content.drains.empty());
}

BOOST_AUTO_TEST_CASE(StatusPageEscapesNames) {
  const http::response page = api.Answer({"GET", "/", {}, ""});
  BOOST_TEST(page.code == 200);
  BOOST_TEST(page.body.find("&lt;w&gt;") != std::string::npos);
  BOOST_TEST(page.body.find("<w>") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::operators
