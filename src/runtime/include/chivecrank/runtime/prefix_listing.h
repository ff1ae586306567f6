#ifndef CHIVECRANK_RUNTIME_PREFIX_LISTING_H_
#define CHIVECRANK_RUNTIME_PREFIX_LISTING_H_

#include <string>
#include <vector>

#include "chivecrank/metadata/store.h"

namespace chivecrank::runtime {

/// All items under a prefix. Its pages are not a snapshot: what changed after
/// `began` may be in it or not.
struct prefix_listing {
  std::vector<metadata::item> items;
  metadata::revision began = 0;
};

/// Reads the items under `prefix` page by page. The first error ends it.
void ListAll(metadata::store& store,
             const std::string& prefix,
             metadata::callback<prefix_listing> done);

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_PREFIX_LISTING_H_
