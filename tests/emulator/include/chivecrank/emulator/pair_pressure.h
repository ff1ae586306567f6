#ifndef CHIVECRANK_EMULATOR_PAIR_PRESSURE_H_
#define CHIVECRANK_EMULATOR_PAIR_PRESSURE_H_

#include <string>

namespace chivecrank::emulator {

/// What filling images do to services, drawn by the names of the pair: a share
/// of the pairs gets along badly, the others hardly notice each other. In
/// pressure for the whole worker.
struct pair_pressure {
  double hard_share = 0;
  double hard_least = 0.8;
  double hard_most = 2.8;
  double gentle_most = 0.2;

  double operator()(const std::string& service_image,
                    const std::string& fill_image) const;
};

}  // namespace chivecrank::emulator

#endif  // CHIVECRANK_EMULATOR_PAIR_PRESSURE_H_
