#ifndef CHIVECRANK_APPS_CHIVECRANK_ADMIN_ADMIN_SETTINGS_H_
#define CHIVECRANK_APPS_CHIVECRANK_ADMIN_ADMIN_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "chivecrank/coordination/resilient_store.h"
#include "chivecrank/membership/types.h"
#include "chivecrank/operators/types.h"
#include "chivecrank/settings/section.h"

namespace chivecrank {

/// Settings of chivecrank_admin.
struct admin_settings {
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
  std::vector<operators::operator_account> operators;
};

/// Reads all settings; faults are recorded in the document.
admin_settings ReadAdminSettings(settings::section& root);

}  // namespace chivecrank

#endif  // CHIVECRANK_APPS_CHIVECRANK_ADMIN_ADMIN_SETTINGS_H_
