#include <boost/test/unit_test.hpp>
#include <thread>

#include "chivecrank/http/client.h"
#include "harness/caller.h"
#include "harness/deployment.h"

namespace chivecrank::harness {
namespace {

constexpr std::chrono::milliseconds kTimeout{5000};
constexpr std::chrono::seconds kLimit{30};
constexpr int kUnauthorized = static_cast<int>(http::status::kUnauthorized);
constexpr int kForbidden = static_cast<int>(http::status::kForbidden);
constexpr int kNotFound = static_cast<int>(http::status::kNotFound);
const std::string kConfiguration =
    std::string(CHIVECRANK_SOURCE_DIR) + "/config/tanoa.toml";

int Call(const settings::endpoint& address,
         const std::string& method,
         const std::string& target,
         const std::string& token,
         const std::string& body = "") {
  http::request message{method, target, {}, body};
  if (!token.empty())
    message.headers.push_back({"Authorization", "Bearer " + token});
  http::client client(address);
  const auto answer = client.Call(message, kTimeout);
  return answer.has_value() ? answer.value().code : 0;
}

std::int64_t RevisionAt(const settings::endpoint& admin) {
  http::client client(admin);
  const auto answer = client.Call({"GET",
                                   "/v1/configuration",
                                   {{"Authorization", "Bearer sala-token"}},
                                   ""},
                                  kTimeout);
  BOOST_REQUIRE(answer.has_value());
  const auto body = http::ParseObject(answer.value().body);
  return http::IntegerOf(body.value(), "revision", -1);
}

std::string SubmitJob(caller& by) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
  std::string job;
  while (job.empty() && std::chrono::steady_clock::now() < end) {
    job = by.SubmitJob("round-plan", "night-1");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return job;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(access_suite)

BOOST_AUTO_TEST_CASE(OperatorsNeedATokenWithTheRole) {
  deployment system({});
  BOOST_REQUIRE(system.Start());
  BOOST_REQUIRE(system.Apply(kConfiguration) == 0);
  const settings::endpoint admin = system.InstanceAt(0).admin;
  const std::string change = R"({"base":1,"content":{}})";
  BOOST_TEST(RevisionAt(admin) == 1);
  const std::string path = "/v1/configuration";
  BOOST_TEST(Call(admin, "POST", path, "", change) == kUnauthorized);
  BOOST_TEST(Call(admin, "POST", path, "no-token", change) == kUnauthorized);
  BOOST_TEST(Call(admin, "POST", path, "hotel-watch-token", change) ==
             kUnauthorized);
  BOOST_TEST(Call(admin, "POST", path, "sala-token", change) == kForbidden);
  BOOST_TEST(Call(admin, "GET", path, "") == kUnauthorized);
  BOOST_TEST(RevisionAt(admin) == 1);
}

BOOST_AUTO_TEST_CASE(AccountsDoNotSeeEachOthersJobs) {
  deployment system({});
  BOOST_REQUIRE(system.Start());
  BOOST_REQUIRE(system.Apply(kConfiguration) == 0);
  caller owner(system.Entries(), {}, 1);
  const std::string job = SubmitJob(owner);
  BOOST_REQUIRE(!job.empty());
  const settings::endpoint entry = system.InstanceAt(0).entry;
  const std::string path = "/v1/jobs/" + job;
  BOOST_TEST(Call(entry, "GET", path, "ridge-hospital-token") == kNotFound);
  BOOST_TEST(Call(entry, "DELETE", path, "ridge-hospital-token") == kNotFound);
  BOOST_TEST(Call(entry, "DELETE", path, "") == kUnauthorized);
  BOOST_TEST(Call(entry, "DELETE", path, "mere-token") == kUnauthorized);
  BOOST_TEST(owner.JobState(job) != "cancelled");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivecrank::harness
