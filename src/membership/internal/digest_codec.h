#ifndef CHIVECRANK_MEMBERSHIP_INTERNAL_DIGEST_CODEC_H_
#define CHIVECRANK_MEMBERSHIP_INTERNAL_DIGEST_CODEC_H_

#include "chivecrank/membership/types.h"
#include "gossip_peer_types.h"

namespace chivecrank::membership::internal {

wire::digest ToWire(const digest& source);
digest FromWire(const wire::digest& source);

/// Makes an endpoint from a host and port received over Thrift. The port is 0
/// if it is out of range.
settings::endpoint EndpointOf(const std::string& host, std::int32_t port);

}  // namespace chivecrank::membership::internal

#endif  // CHIVECRANK_MEMBERSHIP_INTERNAL_DIGEST_CODEC_H_
