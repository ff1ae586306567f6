#ifndef CHIVECRANK_WORKERS_AGENT_CODEC_H_
#define CHIVECRANK_WORKERS_AGENT_CODEC_H_

#include "chivecrank/base/result.h"
#include "chivecrank/http/json.h"
#include "chivecrank/workers/types.h"

/// JSON forms of the agents' messages; see docs/WIRE.md.
namespace chivecrank::workers {

http::json_object EncodeStart(const start_command& command);
start_command DecodeStart(const http::json_object& encoded);

http::json_object EncodeStop(const stop_command& command);
stop_command DecodeStop(const http::json_object& encoded);

http::json_object EncodeSync(const sync_command& command);
sync_command DecodeSync(const http::json_object& encoded);

http::json_object EncodeInventory(const inventory& known);
/// kInvalidArgument for an unknown state.
base::result<inventory> DecodeInventory(const http::json_object& encoded);

}  // namespace chivecrank::workers

#endif  // CHIVECRANK_WORKERS_AGENT_CODEC_H_
