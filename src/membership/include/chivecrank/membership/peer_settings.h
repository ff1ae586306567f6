#ifndef CHIVECRANK_MEMBERSHIP_PEER_SETTINGS_H_
#define CHIVECRANK_MEMBERSHIP_PEER_SETTINGS_H_

#include "chivecrank/membership/types.h"
#include "chivecrank/settings/section.h"

namespace chivecrank::membership {

/// Reads the optional table [peers] with the keys scheduler_port, entry_port
/// and admin_port. It must be the same in the settings of all daemons.
peer_ports ReadPeerPorts(settings::section& root);

}  // namespace chivecrank::membership

#endif  // CHIVECRANK_MEMBERSHIP_PEER_SETTINGS_H_
