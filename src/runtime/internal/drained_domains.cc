#include "chivecrank/runtime/drained_domains.h"

#include <utility>

namespace chivecrank::runtime {

drained_domains::drained_domains(event_log::event_log& log,
                                 drain_key_decoder decode,
                                 std::function<void()> on_changed)
    : log_(log),
      decode_(std::move(decode)),
      on_changed_(std::move(on_changed)) {}

void drained_domains::Reset(const std::vector<metadata::item>& items) {
  std::set<std::string> listed;
  for (const metadata::item& item : items)
    if (auto domain = Decode(item))
      listed.insert(std::move(*domain));
  Replace(std::move(listed));
}

void drained_domains::Apply(const metadata::change& change) {
  const std::optional<std::string> domain = Decode(change.now);
  if (!domain)
    return;
  std::set<std::string> domains = domains_;
  if (change.deleted)
    domains.erase(*domain);
  else
    domains.insert(*domain);
  Replace(std::move(domains));
}

std::optional<std::string> drained_domains::Decode(const metadata::item& item) {
  auto decoded = decode_(item.key);
  if (decoded)
    return std::move(decoded.value());
  log_.Write("domain_drain_rejected", {{"key", item.key},
                                       {"error", decoded.error().message},
                                       {"revision", item.changed_at}});
  return std::nullopt;
}

void drained_domains::Replace(std::set<std::string> domains) {
  if (domains == domains_)
    return;
  for (const std::string& domain : domains)
    if (!domains_.contains(domain))
      log_.Write("domain_drained", {{"domain", domain}});
  for (const std::string& domain : domains_)
    if (!domains.contains(domain))
      log_.Write("domain_drain_over", {{"domain", domain}});
  domains_ = std::move(domains);
  on_changed_();
}

}  // namespace chivecrank::runtime
