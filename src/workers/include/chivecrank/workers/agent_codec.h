#ifndef CHIVECRANK_WORKERS_AGENT_CODEC_H_
#define CHIVECRANK_WORKERS_AGENT_CODEC_H_

#include "chivecrank/base/result.h"
#include "chivecrank/http/json.h"
#include "chivecrank/workers/types.h"

/// JSON encoding of the messages to and from agents; see docs/WIRE.md.
namespace chivecrank::workers {

http::json_object EncodeSync(const sync_command& command);
sync_command DecodeSync(const http::json_object& encoded);

http::json_object EncodeReport(const sync_report& report);
/// Returns kInvalidArgument if a state is unknown or the incarnation is
/// missing.
base::result<sync_report> DecodeReport(const http::json_object& encoded);

}  // namespace chivecrank::workers

#endif  // CHIVECRANK_WORKERS_AGENT_CODEC_H_
