#ifndef CHIVECRANK_SCHEDULING_RESOURCES_H_
#define CHIVECRANK_SCHEDULING_RESOURCES_H_

#include "chivecrank/platform/types.h"

namespace chivecrank::scheduling {

platform::resources Plus(const platform::resources& left,
                         const platform::resources& right);
platform::resources Minus(const platform::resources& left,
                          const platform::resources& right);
/// The larger of each dimension.
platform::resources Larger(const platform::resources& left,
                           const platform::resources& right);

/// Whether `demand` is within `limit` in each dimension.
bool IsWithin(const platform::resources& demand,
              const platform::resources& limit);

/// Whether `demand` fits into `capacity` beside `committed`.
bool Fits(const platform::resources& demand,
          const platform::resources& committed,
          const platform::resources& capacity);

/// The largest share of `total` that `used` takes in any dimension; a
/// dimension that `total` lacks is left out.
double DominantShare(const platform::resources& used,
                     const platform::resources& total);

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_RESOURCES_H_
