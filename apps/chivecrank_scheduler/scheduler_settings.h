#ifndef CHIVECRANK_APPS_CHIVECRANK_SCHEDULER_SCHEDULER_SETTINGS_H_
#define CHIVECRANK_APPS_CHIVECRANK_SCHEDULER_SCHEDULER_SETTINGS_H_

#include <chrono>
#include <string>

#include "chivecrank/coordination/resilient_store.h"
#include "chivecrank/membership/types.h"
#include "chivecrank/ownership/session.h"
#include "chivecrank/settings/section.h"
#include "chivecrank/shards/types.h"

namespace chivecrank {

/// Settings of chivecrank_scheduler.
struct scheduler_settings {
  std::string instance;
  std::string failure_domain;
  settings::endpoint listen;
  settings::endpoint status;
  settings::endpoint platform;
  std::chrono::milliseconds store_timeout{1000};
  /// Age up to which a read of the instance list is used again.
  std::chrono::milliseconds list_age{500};
  membership::peer_ports peers;
  coordination::resilient_store_settings guard;
  std::chrono::milliseconds agent_timeout{1000};
  std::chrono::milliseconds peer_timeout{3000};
  ownership::session_settings session;
  shards::shard_settings shards;
};

/// Reads all settings; faults are recorded in the document.
scheduler_settings ReadSchedulerSettings(settings::section& root);

}  // namespace chivecrank

#endif  // CHIVECRANK_APPS_CHIVECRANK_SCHEDULER_SCHEDULER_SETTINGS_H_
