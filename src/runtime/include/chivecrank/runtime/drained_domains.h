#ifndef CHIVECRANK_RUNTIME_DRAINED_DOMAINS_H_
#define CHIVECRANK_RUNTIME_DRAINED_DOMAINS_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chivecrank/base/result.h"
#include "chivecrank/event_log/event_log.h"
#include "chivecrank/metadata/types.h"

namespace chivecrank::runtime {

/// The failure domain that an operator's key drains; nullopt if the key is
/// about something else. An error if it should name a domain and does not.
using drain_key_decoder =
    std::function<base::result<std::optional<std::string>>(
        std::string_view key)>;

/// The failure domains that operators have drained: one key of the store each,
/// for as long as the key exists. The values do not matter.
class drained_domains {
 public:
  drained_domains(event_log::event_log& log,
                  drain_key_decoder decode,
                  std::function<void()> on_changed);

  /// Applies a full listing of the operators' keys.
  void Reset(const std::vector<metadata::item>& items);
  void Apply(const metadata::change& change);

  const std::set<std::string>& Domains() const { return domains_; }

 private:
  /// Returns nullopt, and logs why, if the key drains nothing.
  std::optional<std::string> Decode(const metadata::item& item);
  void Replace(std::set<std::string> domains);

  event_log::event_log& log_;
  const drain_key_decoder decode_;
  const std::function<void()> on_changed_;
  std::set<std::string> domains_;
};

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_DRAINED_DOMAINS_H_
