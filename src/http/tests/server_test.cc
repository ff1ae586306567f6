#include "chivecrank/http/server.h"

#include <boost/test/unit_test.hpp>

#include <thread>

#include "chivecrank/http/client.h"
#include "harness/network.h"

namespace chivecrank::http {
namespace {

constexpr std::chrono::seconds kTimeout{5};
/// Duration of a request at the slow server, longer than what remains of the
/// first call's timeout after its answer.
constexpr std::chrono::milliseconds kSlowAnswerTime{1500};

response Echo(const request& message) {
  return {200, {{"X-Method", message.method}}, message.body};
}

struct fixture {
  harness::network network;
  settings::endpoint address{network.Host(1, 1), 18080};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(server_suite, fixture)

BOOST_AUTO_TEST_CASE(LargeBodyIsReceivedAndReturnedCompletely) {
  server echo(address, {}, Echo);
  BOOST_REQUIRE(echo.Start().has_value());
  client caller(address);
  const std::string body(100'000, 'x');
  for (int i = 0; i < 3; ++i) {
    const auto answer = caller.Call({"POST", "/a?b=c", {}, body}, kTimeout);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer.value().body == body));
    BOOST_TEST(answer.value().Header("x-method") == "POST");
  }
}

BOOST_AUTO_TEST_CASE(BodyBeyondTheLimitIsRejected) {
  server_limits limits;
  limits.body_bytes = 10;
  server echo(address, limits, Echo);
  BOOST_REQUIRE(echo.Start().has_value());
  client caller(address);
  const auto answer =
      caller.Call({"POST", "/", {}, std::string(11, 'x')}, kTimeout);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer.value().code == static_cast<int>(status::kPayloadTooLarge));
}

BOOST_AUTO_TEST_CASE(ReusedConnectionHasTheTimeoutOfEachCall) {
  server slow(address, {}, [](const request& message) {
    std::this_thread::sleep_for(kSlowAnswerTime);
    return Echo(message);
  });
  BOOST_REQUIRE(slow.Start().has_value());
  client caller(address);
  // One second of this call's timeout remains when its answer arrives. It must
  // not bound the second call on the same connection.
  const auto first = caller.Call({"POST", "/", {}, "a"},
                                 kSlowAnswerTime + std::chrono::seconds(1));
  BOOST_REQUIRE(first.has_value());
  const auto second = caller.Call({"POST", "/", {}, "b"}, 10 * kSlowAnswerTime);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second.value().body == "b");
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsReportedAsUnavailable) {
  client caller({network.Host(1, 1), 18081});
  const auto answer = caller.Call({"GET", "/", {}, ""}, kTimeout);
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error().kind == base::error_kind::kUnavailable));
}

BOOST_AUTO_TEST_CASE(QueryParametersAreDecoded) {
  const request message{"GET", "/a?b=c%20d&e=f", {}, ""};
  BOOST_TEST(message.Path() == "/a");
  BOOST_TEST(message.Query("b") == "c d");
  BOOST_TEST(message.Query("missing") == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::http
