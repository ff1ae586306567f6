#include "chivecrank/entries/slot_metrics.h"

namespace chivecrank::entries {
namespace {

using gauge_family = prometheus::Family<prometheus::Gauge>;

gauge_family& Gauges(prometheus::Registry& registry,
                     const std::string& name,
                     const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

void Set(gauge_family& family, const std::string& state, std::int64_t value) {
  family.Add({{"state", state}}).Set(static_cast<double>(value));
}

}  // namespace

slot_metrics::slot_metrics(prometheus::Registry& registry)
    : slots_(Gauges(registry,
                    "chivecrank_entry_slots",
                    "Upstreams' slots of this entry by state")),
      upstreams_(
          Gauges(registry, "chivecrank_entry_upstreams", "Upstreams by state")),
      waiting_(Gauges(registry,
                      "chivecrank_entry_waiting_requests",
                      "Requests without a slot")),
      requests_(Gauges(registry,
                       "chivecrank_entry_admission",
                       "Requests admitted or refused since the start")),
      exchanges_(Gauges(registry,
                        "chivecrank_entry_slot_exchanges",
                        "Messages to other entries since the start")) {}

void slot_metrics::Export(const pool_totals& totals) {
  Set(slots_, "free", totals.router.free);
  Set(slots_, "in_use", totals.router.in_use);
  Set(slots_, "lent", totals.router.lent);
  Set(slots_, "borrowed", totals.router.borrowed);
  Set(slots_, "held_back", totals.router.quarantined);
  Set(upstreams_, "listed", totals.router.upstreams);
  Set(upstreams_, "ejected", totals.router.ejected);
  Set(waiting_, "waiting", totals.waiting);
  Set(requests_, "admitted", totals.admitted);
  Set(requests_, "account_limit", totals.refused_account_limit);
  Set(requests_, "queue_full", totals.refused_queue_full);
  Set(requests_, "too_late", totals.refused_too_late);
  Set(exchanges_, "sent", totals.exchanges);
  Set(exchanges_, "failed", totals.failed_exchanges);
}

}  // namespace chivecrank::entries
