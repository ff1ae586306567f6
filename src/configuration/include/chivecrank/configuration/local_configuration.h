#ifndef CHIVECRANK_CONFIGURATION_LOCAL_CONFIGURATION_H_
#define CHIVECRANK_CONFIGURATION_LOCAL_CONFIGURATION_H_

#include <mutex>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/configuration/view.h"
#include "chivecrank/membership/shared_document.h"

namespace chivecrank::configuration {

/// The newest configuration known to this process. A lower revision never
/// replaces a higher one, whether it comes from the store or from a peer.
class local_configuration final : public view,
                                  public membership::shared_document {
 public:
  explicit local_configuration(base::clock& clock);

  /// Null until Activate is called, so that a starting process does not use a
  /// revision that may not be the newest.
  shared_snapshot Current() const override;
  /// The newest known revision, even before Activate; null if there is none.
  shared_snapshot Newest() const;

  /// Stores the candidate if it is newer. Returns whether it was.
  bool ApplyIfNewer(snapshot candidate);
  /// Records that the newest revision in the store was `number` at the time
  /// `at`.
  void ConfirmRevision(revision number, base::time_point at);
  /// Makes the newest known revision the active one, now and after each update.
  void Activate();

  std::uint64_t Version() const override;
  std::uint64_t ActiveVersion() const override;
  std::string Text() const override;
  base::result<void> ApplyText(const std::string& text) override;
  /// The time of construction until a confirmation is recorded.
  base::time_point ConfirmedAt() const override;
  void RecordConfirmation(std::uint64_t version, base::time_point at) override;

 private:
  mutable std::mutex mutex_;
  shared_snapshot newest_;
  base::time_point confirmed_at_;
  bool active_ = false;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_LOCAL_CONFIGURATION_H_
