#include "chivecrank/coordination/http_instance_list.h"

#include <utility>

#include "chivecrank/coordination/store_codec.h"

namespace chivecrank::coordination {

http_instance_list::http_instance_list(settings::endpoint address,
                                       std::chrono::milliseconds timeout)
    : client_(std::move(address)), timeout_(timeout) {}

base::result<std::vector<instance>> http_instance_list::List() {
  const http::json_object body = new Poco::JSON::Object;
  BOOST_OUTCOME_TRY(answer, client_.PostJson("/v1/instances", body, timeout_));
  const http::json_array items = http::ArrayOf(answer, "instances");
  std::vector<instance> instances;
  for (unsigned i = 0; i < items->size(); ++i) {
    BOOST_OUTCOME_TRY(entry, DecodeInstance(items->getObject(i)));
    instances.push_back(std::move(entry));
  }
  return instances;
}

}  // namespace chivecrank::coordination
