#ifndef CHIVECRANK_PLATFORM_GUARD_READER_H_
#define CHIVECRANK_PLATFORM_GUARD_READER_H_

#include "chivecrank/platform/guarded_store.h"
#include "chivecrank/settings/section.h"

namespace chivecrank::platform {

/// Reads the optional table `budget` of the table [platform]: calls a second
/// by class, and `waiting_watches`.
guard_settings ReadGuardSettings(settings::section& platform_table);

}  // namespace chivecrank::platform

#endif  // CHIVECRANK_PLATFORM_GUARD_READER_H_
