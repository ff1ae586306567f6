#ifndef CHIVECRANK_REVIEW_STANDINS_3_RECORD_H_
#define CHIVECRANK_REVIEW_STANDINS_3_RECORD_H_

#include <cstdint>
#include <string>

/// The record of a case: what was sent, answered and run, a line each, written
/// by all of its processes.
namespace review::record {

/// Names the file; lines are appended to it.
void Open(const std::string& path);

/// Appends a line with the time of day in milliseconds.
void Write(const std::string& line);

std::int64_t WallMs();
std::int64_t SteadyMs();

}  // namespace review::record

#endif  // CHIVECRANK_REVIEW_STANDINS_3_RECORD_H_
