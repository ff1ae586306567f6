#include "chivecrank/instances/scheduler_server.h"

#include <boost/test/unit_test.hpp>

#include "chivecrank/instances/scheduler_client.h"

namespace chivecrank::instances {
namespace {

constexpr std::chrono::milliseconds kTimeout{5000};
const settings::endpoint kAddress{"127.0.77.2", 18090};

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

}  // namespace

BOOST_AUTO_TEST_SUITE(scheduler_server_suite)

BOOST_AUTO_TEST_CASE(CarriesCallsAndTypedErrors) {
  fake_jobs jobs;
  scheduler_server server(kAddress, jobs);
  BOOST_REQUIRE(server.Start().has_value());
  scheduler_client client(kAddress, kTimeout);
  const auto accepted =
      client.Submit({"a", "t", "key-1", "plan"}, call_origin::kScheduler);
  BOOST_REQUIRE(accepted.has_value());
  BOOST_TEST(accepted.value().job_id == "key-1");
  BOOST_TEST((jobs.last_origin == call_origin::kScheduler));
  const auto missing = client.Describe({"a", "x"}, call_origin::kEntry);
  BOOST_TEST((missing.error().kind == base::error_kind::kNotFound));
  BOOST_TEST(missing.error().remedy == "list them");
}

BOOST_AUTO_TEST_CASE(UnreachableSchedulerIsUnavailable) {
  scheduler_client client({"127.0.77.2", 18091}, kTimeout);
  const auto answer = client.Cancel({"a", "x"}, call_origin::kEntry);
  BOOST_TEST((answer.error().kind == base::error_kind::kUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::instances
