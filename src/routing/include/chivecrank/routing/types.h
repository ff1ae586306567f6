#ifndef CHIVECRANK_ROUTING_TYPES_H_
#define CHIVECRANK_ROUTING_TYPES_H_

#include <cstdint>
#include <string>

/// Which upstream a request goes to. No threads, sockets or clocks inside.
namespace chivecrank::routing {

/// This entry's place among the entries that share the upstreams' slots.
struct entry_share {
  std::int64_t index = 0;
  std::int64_t count = 1;
};

}  // namespace chivecrank::routing

#endif  // CHIVECRANK_ROUTING_TYPES_H_
