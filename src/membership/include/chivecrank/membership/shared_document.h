#ifndef CHIVECRANK_MEMBERSHIP_SHARED_DOCUMENT_H_
#define CHIVECRANK_MEMBERSHIP_SHARED_DOCUMENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"

namespace chivecrank::membership {

/// A document whose newest version all processes should hold. Safe to use
/// from several threads.
class shared_document {
 public:
  virtual ~shared_document() = default;

  /// Version held; 0 for none. Never goes back.
  virtual std::uint64_t Version() const = 0;
  /// Version that this process works with; 0 while it is not ready.
  virtual std::uint64_t InForce() const = 0;
  /// Text of the version held.
  virtual std::string Text() const = 0;
  /// Takes over a text if its version is newer. kCorrupt for a broken one.
  virtual base::result<void> OfferText(const std::string& text) = 0;
  /// When the store last confirmed the version as the newest, as far as this
  /// process knows; the epoch of the clock when it never did.
  virtual base::time_point ConfirmedAt() const = 0;
  /// A process with the same version heard of a confirmation at this time.
  virtual void HearConfirmation(std::uint64_t version, base::time_point at) = 0;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_SHARED_DOCUMENT_H_
