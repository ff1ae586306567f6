#ifndef CHIVECRANK_OBJECTIVES_SAMPLE_CODEC_H_
#define CHIVECRANK_OBJECTIVES_SAMPLE_CODEC_H_

#include <istream>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/objectives/types.h"

namespace chivecrank::objectives {

/// Returns one line of a sample file, without a line break.
std::string EncodeLine(const service_objective& objective);
std::string EncodeLine(const counter_sample& sample);

/// Content of a sample file. If a service has several objectives, the last one
/// is used.
struct sample_file {
  std::vector<service_objective> objectives;
  std::vector<counter_sample> samples;
};

/// Reads JSON lines. The kInvalidArgument error names the line and the remedy.
base::result<sample_file> ReadSamples(std::istream& input);

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_SAMPLE_CODEC_H_
