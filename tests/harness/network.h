#ifndef CHIVECRANK_TESTS_HARNESS_NETWORK_H_
#define CHIVECRANK_TESTS_HARNESS_NETWORK_H_

#include <cstdint>
#include <string>

#include "chivecrank/settings/types.h"

namespace chivecrank::harness {

/// A block of loopback addresses that no other test on this machine uses at
/// the same time.
class network {
 public:
  network();
  ~network();
  network(const network&) = delete;
  network& operator=(const network&) = delete;

  /// Address `number` of a group of addresses, from 1.
  std::string Host(int group, int number) const;

 private:
  int block_ = 0;
  int guard_ = -1;
};

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_HARNESS_NETWORK_H_
