#include "chivecrank/runtime/prefix_listing.h"

#include <memory>
#include <utility>

namespace chivecrank::runtime {
namespace {

/// A listing in progress.
struct listing_state {
  metadata::store& store;
  std::string prefix;
  metadata::callback<prefix_listing> done;
  prefix_listing read;
};

void ReadPage(const std::shared_ptr<listing_state>& state,
              const std::string& after) {
  state->store.List(state->prefix, after, false,
                    [state](base::result<metadata::page> page) {
                      if (!page)
                        return state->done(page.error());
                      prefix_listing& read = state->read;
                      if (read.start_revision == 0)
                        read.start_revision = page.value().current;
                      for (metadata::item& item : page.value().items)
                        read.items.push_back(std::move(item));
                      if (page.value().truncated && !read.items.empty())
                        return ReadPage(state, read.items.back().key);
                      state->done(std::move(read));
                    });
}

}  // namespace

void ListAll(metadata::store& store,
             const std::string& prefix,
             metadata::callback<prefix_listing> done) {
  ReadPage(std::make_shared<listing_state>(
               listing_state{store, prefix, std::move(done), {}}),
           {});
}

}  // namespace chivecrank::runtime
