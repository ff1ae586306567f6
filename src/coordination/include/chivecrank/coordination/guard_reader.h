#ifndef CHIVECRANK_COORDINATION_GUARD_READER_H_
#define CHIVECRANK_COORDINATION_GUARD_READER_H_

#include "chivecrank/coordination/guarded_store.h"
#include "chivecrank/settings/section.h"

namespace chivecrank::coordination {

/// Reads the optional table `budget` of the table [platform]: calls a second
/// by class, and `waiting_watches`.
guard_settings ReadGuardSettings(settings::section& platform_table);

}  // namespace chivecrank::coordination

#endif  // CHIVECRANK_COORDINATION_GUARD_READER_H_
