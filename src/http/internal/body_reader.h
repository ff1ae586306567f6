#ifndef CHIVECRANK_HTTP_INTERNAL_BODY_READER_H_
#define CHIVECRANK_HTTP_INTERNAL_BODY_READER_H_

#include <chrono>
#include <cstddef>
#include <istream>
#include <string>

#include "chivecrank/base/result.h"

namespace chivecrank::http::internal {

/// Limits of one body.
struct body_limits {
  std::size_t max_bytes = 0;
  std::chrono::steady_clock::time_point deadline;
  /// Value of Content-Length, or -1 without one.
  std::int64_t declared_bytes = -1;
};

/// Reads a complete body. kResourceExhausted when it is too large, kTimeout
/// when it isn't complete by the deadline, kInvalidArgument when it is shorter
/// than declared_bytes.
base::result<std::string> ReadBody(std::istream& input,
                                   const body_limits& limits);

}  // namespace chivecrank::http::internal

#endif  // CHIVECRANK_HTTP_INTERNAL_BODY_READER_H_
