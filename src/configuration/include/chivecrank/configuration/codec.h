#ifndef CHIVECRANK_CONFIGURATION_CODEC_H_
#define CHIVECRANK_CONFIGURATION_CODEC_H_

#include <string>
#include <string_view>

#include "chivecrank/base/result.h"
#include "chivecrank/configuration/types.h"
#include "chivecrank/http/json.h"

namespace chivecrank::configuration {

/// Encodes a configuration as JSON; docs/WIRE.md lists the keys.
http::json_object EncodeContent(const content& all);

/// kInvalidArgument if the JSON is invalid; the error names the first invalid
/// key and what is wrong with it.
base::result<content> DecodeContent(const http::json_object& encoded);

/// Encodes a snapshot as JSON text, the form stored in the store.
std::string EncodeSnapshot(const snapshot& accepted);

/// kCorrupt if the text is not a snapshot as EncodeSnapshot writes it.
base::result<snapshot> DecodeSnapshot(std::string_view text);

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_CODEC_H_
