#ifndef CHIVECRANK_HTTP_INTERNAL_BODY_READER_H_
#define CHIVECRANK_HTTP_INTERNAL_BODY_READER_H_

#include <chrono>
#include <cstddef>
#include <istream>
#include <string>

#include "chivecrank/base/result.h"

namespace chivecrank::http::internal {

/// What bounds the reading of one body.
struct body_bounds {
  std::size_t bytes = 0;
  std::chrono::steady_clock::time_point deadline;
  /// The length that the sender declared, or -1.
  std::int64_t declared = -1;
};

/// Reads a whole body. kResourceExhausted when it is too large, kTimeout when
/// it is too slow, kInvalidArgument when it is shorter than declared.
base::result<std::string> ReadBody(std::istream& input,
                                   const body_bounds& bounds);

}  // namespace chivecrank::http::internal

#endif  // CHIVECRANK_HTTP_INTERNAL_BODY_READER_H_
