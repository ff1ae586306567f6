#ifndef CHIVECRANK_APPS_CHIVECRANK_ENTRY_ENTRY_SETTINGS_H_
#define CHIVECRANK_APPS_CHIVECRANK_ENTRY_ENTRY_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "chivecrank/coordination/resilient_store.h"
#include "chivecrank/http/types.h"
#include "chivecrank/idempotency/types.h"
#include "chivecrank/membership/types.h"
#include "chivecrank/routing/types.h"
#include "chivecrank/settings/section.h"

namespace chivecrank {

/// Settings of chivecrank_entry.
struct entry_settings {
  std::string instance;
  std::string failure_domain;
  settings::endpoint listen;
  settings::endpoint status;
  /// Thrift, for the other entries.
  settings::endpoint peer;
  settings::endpoint platform;
  /// The scheduler of the same instance.
  settings::endpoint scheduler;
  std::chrono::milliseconds store_timeout{1000};
  /// Age up to which a read of the instance list is used again.
  std::chrono::milliseconds list_age{500};
  membership::peer_ports peers;
  coordination::resilient_store_settings guard;
  std::chrono::milliseconds scheduler_timeout{5000};
  std::chrono::milliseconds refresh{1000};
  /// Time between "not ready" and the end of listening on a planned stop.
  std::chrono::milliseconds drain{1000};
  /// This entry's place among those that share slots.
  routing::entry_position share;
  routing::sharing_options sharing;
  /// Thrift address of each place.
  std::vector<settings::endpoint> places;
  std::chrono::milliseconds peer_timeout{250};
  http::server_limits limits;
  idempotency::home_settings homes;
};

/// Reads all settings; faults are recorded in the document.
entry_settings ReadEntrySettings(settings::section& root);

}  // namespace chivecrank

#endif  // CHIVECRANK_APPS_CHIVECRANK_ENTRY_ENTRY_SETTINGS_H_
