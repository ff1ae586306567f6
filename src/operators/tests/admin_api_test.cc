#include "chivecrank/operators/admin_api.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/platform/memory_store.h"
#include "chivecrank/security/token.h"

namespace chivecrank::operators {
namespace {

constexpr char kChange[] = R"({"base":0,"content":{"teams":[{"name":"a"}]}})";

struct fixture {
  base::manual_clock clock;
  platform::memory_store store{clock};
  configuration::repository accepted{store, clock, [] { return "w"; }};
  operator_directory directory{
      {{"mere", operator_role::kEditor, security::HashToken("edit")},
       {"jone", operator_role::kViewer, security::HashToken("view")}}};
  int published = 0;
  admin_api api{accepted,
                directory,
                {[this](const auto&) { ++published; },
                 [] { return std::vector<configuration::process_state>(); }}};

  int Post(const std::string& token, const std::string& body) {
    http::request message{"POST", "/v1/configuration", {}, body};
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
  BOOST_TEST(accepted.Head().value().revision == 0);
}

BOOST_AUTO_TEST_CASE(EditorChangesAndSecondGetsAConflict) {
  BOOST_TEST(Post("edit", kChange) == 200);
  BOOST_TEST(Post("edit", kChange) == 409);
  BOOST_TEST(published == 1);
  BOOST_TEST(accepted.Head().value().revision == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::operators
