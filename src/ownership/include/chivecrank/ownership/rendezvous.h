#ifndef CHIVECRANK_OWNERSHIP_RENDEZVOUS_H_
#define CHIVECRANK_OWNERSHIP_RENDEZVOUS_H_

#include <string>
#include <vector>

namespace chivecrank::ownership {

/// The node that rendezvous hashing proposes for a key; empty without nodes.
/// A node that comes or goes moves only the keys it wins or loses.
std::string ProposeNode(const std::string& key,
                        const std::vector<std::string>& nodes);

}  // namespace chivecrank::ownership

#endif  // CHIVECRANK_OWNERSHIP_RENDEZVOUS_H_
