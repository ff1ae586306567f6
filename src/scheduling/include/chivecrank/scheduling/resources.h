#ifndef CHIVECRANK_SCHEDULING_RESOURCES_H_
#define CHIVECRANK_SCHEDULING_RESOURCES_H_

#include "chivecrank/coordination/types.h"

namespace chivecrank::scheduling {

coordination::resources Plus(const coordination::resources& left,
                             const coordination::resources& right);
coordination::resources Minus(const coordination::resources& left,
                              const coordination::resources& right);
/// The maximum of each dimension.
coordination::resources ElementwiseMax(const coordination::resources& left,
                                       const coordination::resources& right);

/// Whether `demand` is within `limit` in each dimension.
bool IsWithin(const coordination::resources& demand,
              const coordination::resources& limit);

/// Whether `demand` fits into what `committed` leaves of `capacity`.
bool Fits(const coordination::resources& demand,
          const coordination::resources& committed,
          const coordination::resources& capacity);

/// The largest share of `total` that `used` takes in any dimension. Dimensions
/// in which `total` is 0 are ignored.
double DominantShare(const coordination::resources& used,
                     const coordination::resources& total);

}  // namespace chivecrank::scheduling

#endif  // CHIVECRANK_SCHEDULING_RESOURCES_H_
