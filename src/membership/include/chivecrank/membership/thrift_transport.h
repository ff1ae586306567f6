#ifndef CHIVECRANK_MEMBERSHIP_THRIFT_TRANSPORT_H_
#define CHIVECRANK_MEMBERSHIP_THRIFT_TRANSPORT_H_

#include "chivecrank/membership/peer_metrics.h"
#include "chivecrank/membership/transport.h"

namespace chivecrank::membership {

/// Timeouts of the calls between processes.
struct transport_settings {
  std::chrono::milliseconds exchange{700};
  std::chrono::milliseconds fetch{1500};
  std::chrono::milliseconds relay{1600};
};

/// Calls other processes over Thrift, with a new connection for each call.
class thrift_transport final : public transport {
 public:
  thrift_transport(transport_settings timeouts, peer_metrics& metrics);

  base::result<digest> Exchange(const settings::endpoint& to,
                                const digest& mine) override;
  base::result<std::string> Fetch(const settings::endpoint& from,
                                  std::uint64_t version) override;
  base::result<bool> Relay(const settings::endpoint& through,
                           const settings::endpoint& target) override;

 private:
  const transport_settings timeouts_;
  peer_metrics& metrics_;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_THRIFT_TRANSPORT_H_
