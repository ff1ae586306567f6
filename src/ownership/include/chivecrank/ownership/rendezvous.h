#ifndef CHIVECRANK_OWNERSHIP_RENDEZVOUS_H_
#define CHIVECRANK_OWNERSHIP_RENDEZVOUS_H_

#include <string>
#include <vector>

namespace chivecrank::ownership {

/// Returns the node that rendezvous hashing selects for a key, or an empty
/// string if there are no nodes. Adding or removing a node moves only the keys
/// that this node gains or loses.
std::string ProposeNode(const std::string& key,
                        const std::vector<std::string>& nodes);

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_RENDEZVOUS_H_
