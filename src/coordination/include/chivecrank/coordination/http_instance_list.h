#ifndef CHIVECRANK_COORDINATION_HTTP_INSTANCE_LIST_H_
#define CHIVECRANK_COORDINATION_HTTP_INSTANCE_LIST_H_

#include "chivecrank/coordination/instance_list.h"
#include "chivecrank/http/client.h"

namespace chivecrank::coordination {

/// Reads the instance list through the platform's HTTP/JSON interface.
class http_instance_list final : public instance_list {
 public:
  http_instance_list(settings::endpoint address,
                     std::chrono::milliseconds timeout);

  base::result<std::vector<instance>> List() override;

 private:
  http::client client_;
  std::chrono::milliseconds timeout_;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_HTTP_INSTANCE_LIST_H_
