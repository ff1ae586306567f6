#ifndef CHIVECRANK_MEMBERSHIP_SHARED_DOCUMENT_H_
#define CHIVECRANK_MEMBERSHIP_SHARED_DOCUMENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/base/result.h"

namespace chivecrank::membership {

/// A versioned document that gossip replicates to all processes. Thread-safe.
class shared_document {
 public:
  virtual ~shared_document() = default;

  /// Newest version known to this process; 0 if there is none. Never decreases.
  virtual std::uint64_t Version() const = 0;
  /// Version that this process uses; 0 until it is ready.
  virtual std::uint64_t ActiveVersion() const = 0;
  /// Text of the newest known version.
  virtual std::string Text() const = 0;
  /// Stores a text if its version is newer. kCorrupt if it is malformed.
  virtual base::result<void> ApplyText(const std::string& text) = 0;
  /// Latest time known to this process at which the store confirmed the version
  /// as the newest. The initial value, before any confirmation, is up to the
  /// implementation.
  virtual base::time_point ConfirmedAt() const = 0;
  /// Records that the store confirmed `version` as the newest at the time `at`.
  /// Ignored if this process has a newer version.
  virtual void RecordConfirmation(std::uint64_t version,
                                  base::time_point at) = 0;
};

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_SHARED_DOCUMENT_H_
