#ifndef CHIVECRANK_COORDINATION_STORE_CODEC_H_
#define CHIVECRANK_COORDINATION_STORE_CODEC_H_

#include "chivecrank/base/result.h"
#include "chivecrank/coordination/types.h"
#include "chivecrank/http/json.h"

/// JSON encoding of the platform's messages; see docs/WIRE.md.
namespace chivecrank::coordination {

http::json_object EncodeEntry(const store_entry& entry);
store_entry DecodeEntry(const http::json_object& encoded);

http::json_object EncodePut(const put_request& write);
put_request DecodePut(const http::json_object& encoded);

http::json_object EncodeListing(const store_listing& listing);
store_listing DecodeListing(const http::json_object& encoded);

http::json_object EncodeWatchRequest(const watch_request& request);
watch_request DecodeWatchRequest(const http::json_object& encoded);

http::json_object EncodeWatchAnswer(const watch_answer& answer);
watch_answer DecodeWatchAnswer(const http::json_object& encoded);

http::json_object EncodeInstance(const instance& entry);
/// kInvalidArgument if the instance has no id. An endpoint whose port is out of
/// range is left unset.
base::result<instance> DecodeInstance(const http::json_object& encoded);

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_STORE_CODEC_H_
