#ifndef CHIVECRANK_COORDINATION_RESILIENT_STORE_SETTINGS_READER_H_
#define CHIVECRANK_COORDINATION_RESILIENT_STORE_SETTINGS_READER_H_

#include "chivecrank/coordination/resilient_store.h"
#include "chivecrank/settings/section.h"

namespace chivecrank::coordination {

/// Reads the optional table `budget` of the table [platform]: the calls per
/// second of each class, and `waiting_watches`.
resilient_store_settings ReadResilientStoreSettings(
    settings::section& platform_table);

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_RESILIENT_STORE_SETTINGS_READER_H_
