#ifndef CHIVECRANK_INSTANCES_INTERNAL_ENTRY_CODEC_H_
#define CHIVECRANK_INSTANCES_INTERNAL_ENTRY_CODEC_H_

#include "chivecrank/idempotency/types.h"
#include "entry_peer_types.h"

namespace chivecrank::instances::internal {

wire::request_arrival ToWire(const idempotency::arrival& request,
                             idempotency::time_limits limits);
idempotency::arrival FromWire(const wire::request_arrival& encoded);
idempotency::time_limits LimitsOf(const wire::request_arrival& encoded);

wire::request_decision ToWire(const idempotency::decision& decided);
idempotency::decision FromWire(const wire::request_decision& encoded);

wire::request_end ToWire(const idempotency::log_entry& ended);
idempotency::log_entry FromWire(const wire::request_end& encoded);

wire::request_report ToWire(const idempotency::key_report& report);
idempotency::key_report FromWire(const wire::request_report& encoded);

}  // namespace chivecrank::instances::internal

#endif  // CHIVECRANK_INSTANCES_INTERNAL_ENTRY_CODEC_H_
