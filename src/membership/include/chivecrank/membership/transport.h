#ifndef CHIVECRANK_MEMBERSHIP_TRANSPORT_H_
#define CHIVECRANK_MEMBERSHIP_TRANSPORT_H_

#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/membership/types.h"

namespace chivecrank::membership {

/// Calls to other processes of the system. Safe to use from several threads.
class transport {
 public:
  virtual ~transport() = default;

  /// Tells a digest and returns that of the other side. kUnavailable when it
  /// does not answer in time.
  virtual base::result<digest> Exchange(const settings::endpoint& to,
                                        const digest& mine) = 0;

  /// The document at `version` or newer. kNotFound when the other side holds
  /// an older one only.
  virtual base::result<std::string> Fetch(const settings::endpoint& from,
                                          std::uint64_t version) = 0;

  /// Whether `through` reaches `target`.
  virtual base::result<bool> Relay(const settings::endpoint& through,
                                   const settings::endpoint& target) = 0;
};

/// Answers those calls.
class peer_handler {
 public:
  virtual ~peer_handler() = default;

  virtual digest OnExchange(const digest& theirs) = 0;
  virtual base::result<std::string> OnFetch(std::uint64_t version) = 0;
  virtual bool OnRelay(const settings::endpoint& target) = 0;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_TRANSPORT_H_
