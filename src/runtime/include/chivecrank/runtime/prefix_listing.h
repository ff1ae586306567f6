#ifndef CHIVECRANK_RUNTIME_PREFIX_LISTING_H_
#define CHIVECRANK_RUNTIME_PREFIX_LISTING_H_

#include <string>
#include <vector>

#include "chivecrank/metadata/store.h"

namespace chivecrank::runtime {

/// All items under a prefix, read page by page. The pages are not a snapshot:
/// changes after `start_revision` may or may not be included.
struct prefix_listing {
  std::vector<metadata::item> items;
  metadata::revision start_revision = 0;
};

/// Reads all items under `prefix`; `done` gets the first error if a page fails.
void ListAll(metadata::store& store,
             const std::string& prefix,
             metadata::callback<prefix_listing> done);

}  // namespace chivecrank::runtime

#endif  // CHIVECRANK_RUNTIME_PREFIX_LISTING_H_
