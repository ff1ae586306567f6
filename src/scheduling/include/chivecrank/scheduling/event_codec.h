#ifndef CHIVECRANK_SCHEDULING_EVENT_CODEC_H_
#define CHIVECRANK_SCHEDULING_EVENT_CODEC_H_

#include "chivecrank/base/result.h"
#include "chivecrank/http/json.h"
#include "chivecrank/scheduling/types.h"

namespace chivecrank::scheduling {

/// JSON form of an event, as stored in the journal.
http::json_object EncodeEvent(const event& recorded);

/// Fails with kCorrupt if the kind or outcome is unknown or the task is
/// missing.
base::result<event> DecodeEvent(const http::json_object& encoded);

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_EVENT_CODEC_H_
