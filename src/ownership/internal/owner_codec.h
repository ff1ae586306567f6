#ifndef CHIVECRANK_OWNERSHIP_INTERNAL_OWNER_CODEC_H_
#define CHIVECRANK_OWNERSHIP_INTERNAL_OWNER_CODEC_H_

#include <string>
#include <string_view>

#include "chivecrank/base/result.h"
#include "chivecrank/ownership/types.h"

namespace chivecrank::ownership::internal {

std::string EncodeOwner(const owner& record);

/// kCorrupt if the text is not an owner record as EncodeOwner writes it.
base::result<owner> DecodeOwner(std::string_view text);

}  // namespace chivecrank::ownership::internal

#endif  // CHIVECRANK_OWNERSHIP_INTERNAL_OWNER_CODEC_H_
