#ifndef CHIVECRANK_JOURNAL_RECORD_CODEC_H_
#define CHIVECRANK_JOURNAL_RECORD_CODEC_H_

#include <string>
#include <string_view>

#include "chivecrank/base/result.h"
#include "chivecrank/journal/types.h"

namespace chivecrank::journal {

std::string EncodeRecord(const record& written);

/// kCorrupt for text of another format or with an invalid event.
base::result<record> DecodeRecord(std::string_view text);

}  // namespace chivecrank::journal

#endif  // CHIVECRANK_JOURNAL_RECORD_CODEC_H_
