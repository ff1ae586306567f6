#ifndef CHIVECRANK_PLATFORM_HTTP_INSTANCE_LIST_H_
#define CHIVECRANK_PLATFORM_HTTP_INSTANCE_LIST_H_

#include "chivecrank/http/client.h"
#include "chivecrank/platform/instance_list.h"

namespace chivecrank::platform {

/// The instance list behind the platform's HTTP/JSON interface.
class http_instance_list final : public instance_list {
 public:
  http_instance_list(settings::endpoint address,
                     std::chrono::milliseconds timeout);

  base::result<std::vector<instance>> List() override;

 private:
  http::client client_;
  std::chrono::milliseconds timeout_;
};

}  // namespace chivecrank::platform

#endif  // CHIVECRANK_PLATFORM_HTTP_INSTANCE_LIST_H_
