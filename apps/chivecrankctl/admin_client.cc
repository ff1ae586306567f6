#include "admin_client.h"

#include <utility>

namespace chivecrank::ctl {
namespace {

constexpr std::chrono::milliseconds kTimeout{15'000};

}  // namespace

admin_client::admin_client(settings::endpoint address, std::string token)
    : client_(std::move(address)), token_(std::move(token)) {}

base::result<http::json_object> admin_client::Get(const std::string& target) {
  return Call({"GET", target, {}, ""});
}

base::result<http::json_object> admin_client::Post(
    const std::string& target,
    const http::json_object& body) {
  return Call({"POST", target, {}, http::ToText(body)});
}

base::result<http::json_object> admin_client::Call(http::request message) {
  message.headers.push_back({"Authorization", "Bearer " + token_});
  BOOST_OUTCOME_TRY(answer, client_.Call(message, kTimeout));
  if (answer.code != static_cast<int>(http::status::kOk))
    return http::ErrorOf(answer);
  return http::ParseObject(answer.body);
}

}  // namespace chivecrank::ctl
