#include "chivecrank/callers/caller_api.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/base/manual_clock.h"
#include "chivecrank/security/token.h"
#include "tests/fake_gate.h"

namespace chivecrank::callers {
namespace {

class fixed_view final : public configuration::view {
 public:
  configuration::shared_snapshot Current() const override { return current; }
  configuration::shared_snapshot current;
};

class fake_upstream final : public upstreams::upstream_client {
 public:
  base::result<http::response> Send(
      const settings::endpoint& /*upstream*/,
      const http::request& message,
      std::chrono::milliseconds /*timeout*/) override {
    ++sent;
    if (failure)
      return *failure;
    return http::response{200, {}, "answer to " + message.body};
  }
  int sent = 0;
  std::optional<base::error> failure;
};

class fake_jobs final : public instances::job_service {
 public:
  base::result<instances::job_report> Submit(
      const instances::job_submission& submission,
      instances::call_origin /*origin*/) override {
    return instances::job_report{submission.account + "-job",
                                 submission.template_name,
                                 "pending",
                                 0,
                                 "",
                                 ""};
  }
  base::result<instances::job_report> Describe(
      const instances::job_reference& reference,
      instances::call_origin /*origin*/) override {
    return instances::job_report{reference.job_id, "", "running", 1, "", ""};
  }
  base::result<instances::job_report> Cancel(
      const instances::job_reference& /*reference*/,
      instances::call_origin /*origin*/) override {
    return base::error{base::error_kind::kConflict, "ended", "nothing"};
  }
};

struct fixture {
  fixture() {
    auto accepted = std::make_shared<configuration::snapshot>();
    accepted->content.services.resize(1);
    accepted->content.services[0].name = "dispatch";
    accepted->content.accounts.resize(1);
    accepted->content.accounts[0].name = "hotel";
    accepted->content.accounts[0].token_hash = security::HashToken("secret");
    configured.current = accepted;
    coordination::instance listed;
    listed.id = "w-1";
    listed.slots = 1;
    slots.Update({listed});
  }

  http::response Call(std::vector<http::header> headers) {
    headers.push_back({"Authorization", "Bearer secret"});
    return api.Answer({"POST", "/v1/services/dispatch/callouts",
                       std::move(headers), "panel 7"});
  }

  base::manual_clock clock;
  fixed_view configured;
  fake_upstream upstream;
  fake_jobs jobs;
  entries::slot_pool slots{clock, {0, 1}, {}, false};
  request_service requests{clock, slots, upstream};
  fake_gate gate;
  once_service once{clock, requests, gate};
  std::vector<objectives::request_observation> observed;
  caller_api api{clock, configured, once, jobs, [this](const auto& answered) {
                   observed.push_back(answered);
                 }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(caller_api_suite, fixture)

BOOST_AUTO_TEST_CASE(ForwardsUpstreamResponseWithOutcomeCompleted) {
  const http::response answer = Call({{kKeyHeader, "k-1"}});
  BOOST_TEST(answer.code == 200);
  BOOST_TEST(answer.body == "answer to panel 7");
  BOOST_TEST(answer.Header(kOutcomeHeader) == "completed");
  BOOST_REQUIRE(observed.size() == 1);
  BOOST_TEST(observed[0].account == "hotel");
  BOOST_TEST(observed[0].in_objective);
}

BOOST_AUTO_TEST_CASE(ReportsNotRunOnlyIfUpstreamWasNotReached) {
  upstream.failure = base::error{base::error_kind::kUnavailable, "", ""};
  BOOST_TEST(Call({{kKeyHeader, "a"}}).Header(kOutcomeHeader) == "not_run");
  upstream.failure = base::error{base::error_kind::kOutcomeUnknown, "", ""};
  BOOST_TEST(Call({{kKeyHeader, "b"}}).Header(kOutcomeHeader) == "unknown");
}

BOOST_AUTO_TEST_CASE(RejectsInvalidOrUnauthenticatedRequestWithoutSendingIt) {
  BOOST_TEST(Call({}).code == 400);
  BOOST_TEST(Call({{kKeyHeader, "a"}, {kTimeoutHeader, "x"}}).code == 400);
  BOOST_TEST(Call({{kKeyHeader, "a"}, {kIdempotentHeader, "x"}}).code == 400);
  const http::response unknown =
      api.Answer({"POST", "/v1/services/dispatch/callouts", {}, ""});
  BOOST_TEST(unknown.code == 401);
  BOOST_TEST(unknown.Header(kOutcomeHeader) == "not_run");
  BOOST_TEST(upstream.sent == 0);
}

BOOST_AUTO_TEST_CASE(RejectedRequestHasUnknownOutcomeUnlessFirstSend) {
  const std::vector<http::header> faulty = {{kKeyHeader, "a"},
                                            {kTimeoutHeader, "x"}};
  BOOST_TEST(Call(faulty).Header(kOutcomeHeader) == "unknown");
  std::vector<http::header> first = faulty;
  first.push_back({kFirstSendHeader, "true"});
  BOOST_TEST(Call(first).Header(kOutcomeHeader) == "not_run");
}

BOOST_AUTO_TEST_CASE(DescribesStateOfIdempotencyKey) {
  const http::response answer = api.Answer(
      {"GET", "/v1/requests/k", {{"Authorization", "Bearer secret"}}, ""});
  BOOST_TEST(answer.code == 200);
  BOOST_TEST(answer.body.find("in_flight") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SubmitsJobForAuthenticatedAccount) {
  const http::response answer =
      api.Answer({"POST",
                  "/v1/jobs",
                  {{"Authorization", "Bearer secret"}, {kKeyHeader, "n-1"}},
                  R"({"template":"round-plan"})"});
  BOOST_TEST(answer.code == 200);
  BOOST_TEST(answer.body.find("hotel-job") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::callers
