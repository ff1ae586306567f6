#include "chivecrank/callers/once_service.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "tests/fake_gate.h"

namespace chivecrank::callers {
namespace {

using idempotency::log_entry_kind;
using idempotency::verdict;

class fake_upstream final : public upstreams::upstream_client {
 public:
  base::result<http::response> Send(
      const settings::endpoint& /*upstream*/,
      const http::request& /*message*/,
      std::chrono::milliseconds /*timeout*/) override {
    ++sent;
    if (failure)
      return *failure;
    return http::response{200, {}, "whole"};
  }
  int sent = 0;
  std::optional<base::error> failure;
};

struct fixture {
  fixture() {
    coordination::instance listed;
    listed.id = "w-1";
    listed.slots = 8;
    slots.Update({listed});
  }

  caller_answer Serve(verdict decided) {
    gate.decided = {decided, {200, {}, "recorded"}};
    caller_request request;
    request.account = "hotel";
    request.key = "k";
    request.first_send = true;
    request.deadline = clock.Now() + std::chrono::seconds(1);
    return service.Serve(request);
  }

  base::manual_clock clock;
  fake_upstream upstream;
  fake_gate gate;
  entries::slot_pool slots{clock, {0, 1}, {}, false};
  request_service requests{clock, slots, upstream};
  once_service service{clock, requests, gate};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(once_service_suite, fixture)

BOOST_AUTO_TEST_CASE(SendsOnlyWhatIsAdmitted) {
  BOOST_TEST(Serve(verdict::kReplay).response.body == "recorded");
  BOOST_TEST((Serve(verdict::kUnknown).outcome == request_outcome::kUnknown));
  BOOST_TEST((Serve(verdict::kRefused).outcome == request_outcome::kNotRun));
  BOOST_TEST(Serve(verdict::kMismatch).response.code == 409);
  BOOST_TEST(upstream.sent == 0);
  BOOST_TEST(gate.ends.empty());
  BOOST_TEST((Serve(verdict::kRun).outcome == request_outcome::kCompleted));
  BOOST_TEST(upstream.sent == 1);
}

BOOST_AUTO_TEST_CASE(TellsTheGateHowItEnded) {
  Serve(verdict::kRun);
  upstream.failure = base::error{base::error_kind::kOutcomeUnknown, "", ""};
  Serve(verdict::kRun);
  upstream.failure = base::error{base::error_kind::kUnavailable, "", ""};
  Serve(verdict::kRun);
  BOOST_REQUIRE(gate.ends.size() == 3);
  BOOST_TEST((gate.ends[0].kind == log_entry_kind::kCompleted));
  BOOST_TEST(gate.ends[0].answer.body == "whole");
  BOOST_TEST(gate.ends[0].token == "t");
  BOOST_TEST((gate.ends[1].kind == log_entry_kind::kUnknown));
  BOOST_TEST((gate.ends[2].kind == log_entry_kind::kWithdrawn));
}

BOOST_AUTO_TEST_CASE(IdempotentRequestsPassBy) {
  caller_request request;
  request.idempotent = true;
  request.deadline = clock.Now() + std::chrono::seconds(1);
  service.Serve(request);
  BOOST_TEST(upstream.sent == 1);
  BOOST_TEST(gate.admitted.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::callers
