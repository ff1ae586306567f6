#ifndef CHIVECRANK_TESTS_HARNESS_SETTINGS_FILES_H_
#define CHIVECRANK_TESTS_HARNESS_SETTINGS_FILES_H_

#include <string>
#include <vector>

#include "chivecrank/settings/types.h"

namespace chivecrank::harness {

/// What the settings files of one system instance differ in.
struct instance_addresses {
  std::string id;
  std::string failure_domain;
  settings::endpoint entry;
  settings::endpoint entry_status;
  settings::endpoint entry_peer;
  settings::endpoint scheduler;
  settings::endpoint scheduler_status;
  settings::endpoint admin;
  settings::endpoint admin_status;
  settings::endpoint platform;
  int index = 0;
  /// Thrift address and failure domain of every entry.
  std::vector<settings::endpoint> entry_peers;
  std::vector<std::string> peer_domains;
};

/// TOML text of the settings files of one instance.
std::string EntrySettingsText(const instance_addresses& at);
std::string SchedulerSettingsText(const instance_addresses& at);
/// Knows the operators "mere" (administrator), "jone" (editor) and "sala"
/// (viewer); the token of each is the name followed by "-token".
std::string AdminSettingsText(const instance_addresses& at);

}  // namespace chivecrank::harness

#endif  // CHIVECRANK_TESTS_HARNESS_SETTINGS_FILES_H_
