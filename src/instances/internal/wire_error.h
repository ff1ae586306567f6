#ifndef CHIVECRANK_INSTANCES_INTERNAL_WIRE_ERROR_H_
#define CHIVECRANK_INSTANCES_INTERNAL_WIRE_ERROR_H_

#include "chivecrank/base/error.h"
#include "chivecrank/instances/types.h"
#include "scheduler_peer_types.h"

namespace chivecrank::instances::internal {

wire::call_failure ToWire(const base::error& failure);
base::error FromWire(const wire::call_failure& failure);
wire::job_report ToWire(const job_report& report);
job_report FromWire(const wire::job_report& report);

}  // namespace chivecrank::instances::internal

#endif  // CHIVECRANK_INSTANCES_INTERNAL_WIRE_ERROR_H_
