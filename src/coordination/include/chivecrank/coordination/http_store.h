#ifndef CHIVECRANK_COORDINATION_HTTP_STORE_H_
#define CHIVECRANK_COORDINATION_HTTP_STORE_H_

#include "chivecrank/coordination/store.h"
#include "chivecrank/http/client.h"

namespace chivecrank::coordination {

/// Accesses the store through the platform's HTTP/JSON interface.
class http_store final : public store {
 public:
  /// `timeout` limits each call. For a watch, its wait time is added.
  http_store(settings::endpoint address, std::chrono::milliseconds timeout);

  base::result<std::optional<store_entry>> Get(call_class purpose,
                                               const std::string& key) override;
  base::result<version> Put(call_class purpose,
                            const put_request& write) override;
  base::result<void> Delete(call_class purpose,
                            const std::string& key,
                            version expected) override;
  base::result<store_listing> List(call_class purpose,
                                   const std::string& prefix) override;
  base::result<watch_answer> Watch(const watch_request& request) override;
  base::result<lease_id> GrantLease(std::chrono::milliseconds term) override;
  base::result<void> RenewLease(lease_id lease) override;
  base::result<void> RevokeLease(lease_id lease) override;

 private:
  base::result<http::json_object> Call(const std::string& operation,
                                       const http::json_object& body);

  http::client client_;
  std::chrono::milliseconds timeout_;
};

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_HTTP_STORE_H_
