#ifndef CHIVECRANK_MEMBERSHIP_TRANSPORT_H_
#define CHIVECRANK_MEMBERSHIP_TRANSPORT_H_

#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/membership/types.h"

namespace chivecrank::membership {

/// Sends gossip calls to other processes of the system. Thread-safe.
class transport {
 public:
  virtual ~transport() = default;

  /// Sends a digest and returns the digest of the other process. kUnavailable
  /// if it does not answer in time.
  virtual base::result<digest> Exchange(const settings::endpoint& to,
                                        const digest& mine) = 0;

  /// Returns the text of the document at `version` or newer. kNotFound if the
  /// other process has only an older version.
  virtual base::result<std::string> Fetch(const settings::endpoint& from,
                                          std::uint64_t version) = 0;

  /// Returns whether the process at `through` can reach `target`.
  virtual base::result<bool> Relay(const settings::endpoint& through,
                                   const settings::endpoint& target) = 0;
};

/// Receives the calls that other processes send through a transport. Methods
/// may be called from several threads.
class peer_handler {
 public:
  virtual ~peer_handler() = default;

  virtual digest OnExchange(const digest& theirs) = 0;
  virtual base::result<std::string> OnFetch(std::uint64_t version) = 0;
  virtual bool OnRelay(const settings::endpoint& target) = 0;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_TRANSPORT_H_
