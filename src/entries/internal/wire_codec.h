#ifndef CHIVECRANK_ENTRIES_INTERNAL_WIRE_CODEC_H_
#define CHIVECRANK_ENTRIES_INTERNAL_WIRE_CODEC_H_

#include "chivecrank/routing/types.h"
#include "entry_peer_types.h"

namespace chivecrank::entries::internal {

wire::exchange_request ToWire(const routing::exchange_request& request);
routing::exchange_request FromWire(const wire::exchange_request& request);
wire::exchange_answer ToWire(const routing::exchange_answer& answer);
routing::exchange_answer FromWire(const wire::exchange_answer& answer);

}  // namespace chivecrank::entries::internal

#endif  // CHIVECRANK_ENTRIES_INTERNAL_WIRE_CODEC_H_
