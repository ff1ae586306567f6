#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "chivecrank/base/boot_clock.h"
#include "chivecrank/reactor/event_loop.h"
#include "chivecrank/reactor/http_caller.h"
#include "chivecrank/reactor/http_server.h"
#include "internal/message_codec.h"

namespace chivecrank::reactor {
namespace {

constexpr base::milliseconds kStep{20};
constexpr int kMaxSteps = 500;

/// A server that stores the responders of its requests, and a client on the
/// same loop.
struct fixture {
  fixture() { BOOST_REQUIRE(server.Start(address)); }

  template <class Condition>
  void RunUntil(Condition condition) {
    for (int step = 0; step < kMaxSteps && !condition(); ++step)
      loop.RunOnce(kStep);
    BOOST_REQUIRE(condition());
  }

  base::boot_clock clock;
  event_loop loop{clock};
  settings::endpoint address{"127.0.0.1", 18431};
  std::vector<http::request> received;
  std::vector<responder> responders;
  http_server server{loop, {}, [this](http::request message, responder answer) {
                       received.push_back(std::move(message));
                       responders.push_back(std::move(answer));
                     }};
  http_caller caller{loop, address, {.connections = 1}};
};

/// Values of a Content-Length that say no length.
const std::vector<std::string> kOddLengths = {
    "abc", "", "-1", "+2", "1e3", "0x10", "2, 2", "99999999999999999999"};
constexpr std::uint16_t kOddPeerPort = 18432;

std::string Read(Poco::Net::StreamSocket& socket) {
  std::string bytes(1024, '\0');
  const int size =
      socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
  bytes.resize(static_cast<std::size_t>(std::max(size, 0)));
  return bytes;
}

http::response Answer(std::string body) {
  http::response answer;
  answer.body = std::move(body);
  return answer;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(http_messages, fixture)

BOOST_AUTO_TEST_CASE(CallsOnOneConnectionGetTheirOwnAnswers) {
  std::vector<std::string> bodies;
  for (const std::string name : {"one", "two"}) {
    caller.Call({"POST", "/" + name, {}, name}, base::milliseconds(5000),
                [&](base::result<http::response> answer) {
                  BOOST_REQUIRE(answer);
                  bodies.push_back(answer.value().body);
                });
  }
  RunUntil([&] { return responders.size() == 1; });
  BOOST_TEST(received[0].body == "one");
  responders[0](Answer("first"));
  RunUntil([&] { return responders.size() == 2; });
  BOOST_TEST(received[1].body == "two");
  responders[1](Answer("second"));
  RunUntil([&] { return bodies.size() == 2; });
  BOOST_TEST(bodies[0] == "first");
  BOOST_TEST(bodies[1] == "second");
  BOOST_TEST(caller.Opened() == 1u);
}

BOOST_AUTO_TEST_CASE(LateAnswerIsNotDeliveredToAnotherCall) {
  std::optional<base::error_kind> first;
  caller.Call({"GET", "/slow", {}, ""}, base::milliseconds(60),
              [&](base::result<http::response> answer) {
                BOOST_REQUIRE(!answer);
                first = answer.error().kind;
              });
  RunUntil([&] { return first.has_value(); });
  BOOST_TEST((*first == base::error_kind::kOutcomeUnknown));
  std::string body;
  caller.Call({"GET", "/next", {}, ""}, base::milliseconds(5000),
              [&](base::result<http::response> answer) {
                BOOST_REQUIRE(answer);
                body = answer.value().body;
              });
  RunUntil([&] { return responders.size() == 2; });
  responders[0](Answer("late"));
  responders[1](Answer("own"));
  RunUntil([&] { return !body.empty(); });
  BOOST_TEST(body == "own");
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsReportedAsUnavailable) {
  http_caller unconnected_caller(loop, {"127.0.0.1", 18432}, {});
  std::optional<base::error_kind> kind;
  unconnected_caller.Call({"GET", "/", {}, ""}, base::milliseconds(2000),
                          [&](base::result<http::response> answer) {
                            BOOST_REQUIRE(!answer);
                            kind = answer.error().kind;
                          });
  RunUntil([&] { return kind.has_value(); });
  BOOST_TEST((*kind == base::error_kind::kUnavailable));
}

BOOST_AUTO_TEST_CASE(DrainingServerClosesConnectionAfterAnswer) {
  bool answered = false;
  caller.Call({"GET", "/", {}, ""}, base::milliseconds(5000),
              [&](base::result<http::response> answer) {
                BOOST_REQUIRE(answer);
                BOOST_TEST(answer.value().Header("Connection") == "Close");
                answered = true;
              });
  RunUntil([&] { return responders.size() == 1; });
  server.Drain();
  responders[0](Answer("x"));
  RunUntil([&] { return answered && server.Connections() == 0; });
  BOOST_TEST(server.InFlight() == 0u);
}

BOOST_AUTO_TEST_CASE(MessagesLargerThanSocketBuffersArriveCompletely) {
  http_server large_server(loop, {.body_bytes = 8 << 20},
                           [](http::request message, const responder& answer) {
                             answer(Answer(std::move(message.body)));
                           });
  const settings::endpoint large_address{"127.0.0.1", 18433};
  BOOST_REQUIRE(large_server.Start(large_address));
  http_caller large_caller(loop, large_address, {.body_bytes = 8 << 20});
  const std::string sent(6 << 20, 'x');
  std::optional<std::string> got;
  large_caller.Call({"POST", "/", {}, sent}, base::milliseconds(9000),
                    [&](base::result<http::response> answer) {
                      BOOST_REQUIRE(answer);
                      got = answer.value().body;
                    });
  RunUntil([&] { return got.has_value(); });
  BOOST_TEST((*got == sent));
}

BOOST_AUTO_TEST_CASE(TimersRunInDueOrderAndCancelledTimersDoNotRun) {
  std::vector<int> order;
  loop.After(base::milliseconds(30), [&] { order.push_back(2); });
  loop.After(base::milliseconds(10), [&] { order.push_back(1); });
  loop.Cancel(loop.After(base::milliseconds(5), [&] { order.push_back(0); }));
  RunUntil([&] { return order.size() == 2; });
  BOOST_TEST(order[0] == 1);
  BOOST_TEST(order[1] == 2);
}

BOOST_AUTO_TEST_CASE(RequestIsParsedOnlyWhenComplete) {
  std::string buffer = "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nab";
  const internal::message_limits limits{1024, 1024};
  auto partial = internal::TakeRequest(buffer, limits);
  BOOST_REQUIRE(partial);
  BOOST_TEST(!partial.value().has_value());
  buffer += "cdGET";
  auto whole = internal::TakeRequest(buffer, limits);
  BOOST_REQUIRE(whole);
  BOOST_REQUIRE(whole.value().has_value());
  BOOST_TEST(whole.value()->message.body == "abcd");
  BOOST_TEST(buffer == "GET");
}

BOOST_AUTO_TEST_CASE(OversizedOrMalformedRequestIsAnError) {
  std::string large = "POST /a HTTP/1.1\r\nContent-Length: 4096\r\n\r\n";
  BOOST_TEST(!internal::TakeRequest(large, {1024, 1024}));
  std::string chunked =
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  BOOST_TEST(!internal::TakeRequest(chunked, {1024, 1024}));
  std::string endless(2048, 'x');
  BOOST_TEST(!internal::TakeRequest(endless, {1024, 1024}));
}

BOOST_AUTO_TEST_CASE(AContentLengthThatIsNoNumberIsAnError) {
  for (const std::string& length : kOddLengths) {
    std::string request =
        "POST /a HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\nab";
    BOOST_TEST(!internal::TakeRequest(request, {1024, 1024}), length);
    std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nab";
    BOOST_TEST(!internal::TakeResponse(response, {1024, 1024}), length);
  }
}

/// The review's trial: one request with such a length ended every instance.
BOOST_AUTO_TEST_CASE(AServerGoesOnAfterARequestWithAnOddLength) {
  for (const std::string& length : kOddLengths) {
    Poco::Net::StreamSocket client(
        Poco::Net::SocketAddress(address.host, address.port));
    const std::string request =
        "POST /a HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\n";
    client.sendBytes(request.data(), static_cast<int>(request.size()));
    RunUntil([&] { return client.available() > 0; });
    const std::string answer = Read(client);
    const bool is_refused = answer.starts_with("HTTP/1.1 400") ||
                            answer.starts_with("HTTP/1.1 429");
    BOOST_TEST(is_refused, answer);
  }
  BOOST_TEST(received.empty());
  caller.Call({"GET", "/b", {}, ""}, base::milliseconds(5000),
              [](base::result<http::response>) {});
  RunUntil([&] { return received.size() == 1; });
}

/// The same from the other side: a worker's answer.
BOOST_AUTO_TEST_CASE(ACallerGoesOnAfterAnAnswerWithAnOddLength) {
  for (const std::string& length : kOddLengths) {
    Poco::Net::ServerSocket peer(
        Poco::Net::SocketAddress(address.host, kOddPeerPort));
    http_caller to_peer(loop, {address.host, kOddPeerPort}, {.connections = 1});
    std::optional<base::error_kind> kind;
    to_peer.Call({"GET", "/a", {}, ""}, base::milliseconds(5000),
                 [&](base::result<http::response> answer) {
                   BOOST_REQUIRE(!answer);
                   kind = answer.error().kind;
                 });
    Poco::Net::StreamSocket accepted = peer.acceptConnection();
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n";
    accepted.sendBytes(answer.data(), static_cast<int>(answer.size()));
    RunUntil([&] { return kind.has_value(); });
    BOOST_TEST((*kind == base::error_kind::kOutcomeUnknown), length);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::reactor
