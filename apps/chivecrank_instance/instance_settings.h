#ifndef CHIVECRANK_APPS_INSTANCE_SETTINGS_H_
#define CHIVECRANK_APPS_INSTANCE_SETTINGS_H_

#include <optional>
#include <string>

#include "chivecrank/runtime/instance_runtime.h"
#include "chivecrank/settings/section.h"

namespace chivecrank::apps {

/// The settings file of chivecrank_instance.
struct instance_settings {
  settings::endpoint callers;
  settings::endpoint readiness;
  settings::endpoint metrics;
  settings::endpoint store;
  /// The service that grants permits to start; unset where there is none.
  std::optional<settings::endpoint> permits;
  runtime::runtime_settings runtime;
};

instance_settings ReadInstanceSettings(settings::section& root);

}  // namespace chivecrank::apps

#endif  // CHIVECRANK_APPS_INSTANCE_SETTINGS_H_
