#ifndef CHIVECRANK_OBJECTIVES_SAMPLE_CODEC_H_
#define CHIVECRANK_OBJECTIVES_SAMPLE_CODEC_H_

#include <istream>
#include <string>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/objectives/types.h"

namespace chivecrank::objectives {

/// One line of a file of samples: an objective or a counter.
std::string EncodeLine(const service_objective& objective);
std::string EncodeLine(const counter_sample& sample);

/// What a file of samples holds. The last objective of a service counts.
struct sample_file {
  std::vector<service_objective> objectives;
  std::vector<counter_sample> samples;
};

/// Reads JSON lines. kInvalidArgument names the line and the remedy.
base::result<sample_file> ReadSamples(std::istream& input);

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_SAMPLE_CODEC_H_
