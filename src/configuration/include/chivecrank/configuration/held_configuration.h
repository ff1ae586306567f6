#ifndef CHIVECRANK_CONFIGURATION_HELD_CONFIGURATION_H_
#define CHIVECRANK_CONFIGURATION_HELD_CONFIGURATION_H_

#include <mutex>
#include <string>

#include "chivecrank/base/clock.h"
#include "chivecrank/configuration/view.h"
#include "chivecrank/membership/shared_document.h"

namespace chivecrank::configuration {

/// The newest configuration that this process knows. A lower revision never
/// replaces a higher one, wherever it comes from.
class held_configuration final : public view,
                                 public membership::shared_document {
 public:
  explicit held_configuration(base::clock& clock);

  /// Null until Admit, so that a fresh process does not work with what may
  /// not be the newest revision.
  shared_snapshot Current() const override;
  /// The newest revision known, also before Admit; null when there is none.
  shared_snapshot Newest() const;

  /// Takes over a newer configuration. Returns whether it was newer.
  bool Offer(snapshot candidate);
  /// The store's newest revision was `number` at `at`.
  void Confirm(revision number, base::time_point at);
  /// Puts the newest revision known in force from now on.
  void Admit();

  std::uint64_t Version() const override;
  std::uint64_t ActiveVersion() const override;
  std::string Text() const override;
  base::result<void> ApplyText(const std::string& text) override;
  base::time_point ConfirmedAt() const override;
  void RecordConfirmation(std::uint64_t version, base::time_point at) override;

 private:
  mutable std::mutex mutex_;
  shared_snapshot newest_;
  base::time_point confirmed_at_;
  bool admitted_ = false;
};

}  // namespace chivecrank::configuration

#endif  // CHIVECRANK_CONFIGURATION_HELD_CONFIGURATION_H_
