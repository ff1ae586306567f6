#ifndef CHIVECRANK_CONFIGURATION_CODEC_H_
#define CHIVECRANK_CONFIGURATION_CODEC_H_

#include <string>
#include <string_view>

#include "chivecrank/base/result.h"
#include "chivecrank/configuration/types.h"
#include "chivecrank/http/json.h"

namespace chivecrank::configuration {

/// JSON form of a configuration; docs/WIRE.md lists the keys.
http::json_object EncodeContent(const content& all);

/// kInvalidArgument names the key, the value and the remedy.
base::result<content> DecodeContent(const http::json_object& encoded);

/// Text form of a snapshot, as kept in the store.
std::string EncodeSnapshot(const snapshot& accepted);

/// kCorrupt for text that EncodeSnapshot did not write.
base::result<snapshot> DecodeSnapshot(std::string_view text);

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_CODEC_H_
