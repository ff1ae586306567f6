#ifndef CHIVECRANK_MEMBERSHIP_INTERNAL_DIGEST_CODEC_H_
#define CHIVECRANK_MEMBERSHIP_INTERNAL_DIGEST_CODEC_H_

#include "chivecrank/membership/types.h"
#include "gossip_peer_types.h"

namespace chivecrank::membership::internal {

wire::digest ToWire(const digest& told);
digest FromWire(const wire::digest& told);

/// The endpoint of a host and a port from the wire; port 0 when it is none.
settings::endpoint EndpointOf(const std::string& host, std::int32_t port);

}  // namespace chivecrank::membership::internal

#endif  // CHIVECRANK_MEMBERSHIP_INTERNAL_DIGEST_CODEC_H_
