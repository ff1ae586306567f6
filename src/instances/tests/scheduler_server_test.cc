#include "chivecrank/instances/scheduler_server.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/instances/scheduler_client.h"
#include "harness/network.h"

namespace chivecrank::instances {
namespace {

constexpr std::chrono::milliseconds kTimeout{5000};

class fake_jobs final : public job_service {
 public:
  base::result<job_report> Submit(const job_submission& submission,
                                  call_origin origin) override {
    last_origin = origin;
    return job_report{submission.idempotency_key,
                      submission.template_name,
                      "pending",
                      0,
                      "",
                      ""};
  }
  base::result<job_report> Describe(const job_reference& /*reference*/,
                                    call_origin /*origin*/) override {
    return base::error{base::error_kind::kNotFound, "no job", "list them"};
  }
  base::result<job_report> Cancel(const job_reference& reference,
                                  call_origin /*origin*/) override {
    return job_report{reference.job_id, "", "cancelled", 1, "w-1", ""};
  }

  call_origin last_origin = call_origin::kEntry;
};

struct fixture {
  harness::network network;
  settings::endpoint address{network.Host(1, 1), 18090};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(scheduler_server_suite, fixture)

BOOST_AUTO_TEST_CASE(TransmitsCallsAndTypedErrorsOverThrift) {
  fake_jobs jobs;
  scheduler_server server(address, jobs);
  BOOST_REQUIRE(server.Start().has_value());
  scheduler_client client(address, kTimeout);
  const auto accepted =
      client.Submit({"a", "t", "key-1", "plan"}, call_origin::kScheduler);
  BOOST_REQUIRE(accepted.has_value());
  BOOST_TEST(accepted.value().job_id == "key-1");
  BOOST_TEST((jobs.last_origin == call_origin::kScheduler));
  const auto missing = client.Describe({"a", "x"}, call_origin::kEntry);
  BOOST_TEST((missing.error().kind == base::error_kind::kNotFound));
  BOOST_TEST(missing.error().remedy == "list them");
}

BOOST_AUTO_TEST_CASE(CallToUnreachableSchedulerReturnsUnavailable) {
  scheduler_client client({network.Host(1, 1), 18091}, kTimeout);
  const auto answer = client.Cancel({"a", "x"}, call_origin::kEntry);
  BOOST_TEST((answer.error().kind == base::error_kind::kUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::instances
