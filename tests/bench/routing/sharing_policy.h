#ifndef CHIVECRANK_TESTS_BENCH_ROUTING_SHARING_POLICY_H_
#define CHIVECRANK_TESTS_BENCH_ROUTING_SHARING_POLICY_H_

#include <memory>
#include <string>
#include <vector>

#include "chivecrank/admission/request_queue.h"
#include "chivecrank/routing/slot_router.h"
#include "policy.h"

namespace chivecrank::bench {

/// Which entries there are and how they share slots.
struct sharing_variant {
  int entries = kEntries;
  bool lending = true;
  /// Own slots are those of the entry's failure domain.
  bool by_domain = true;
  /// The only entry learns of every end at once.
  bool knows_all = false;
};

/// Drives the admission and the routing that chivecrank_entry runs.
class sharing_policy final : public policy {
 public:
  sharing_policy(const run_context& context, const sharing_variant& variant);

  void Arrive(std::size_t request, int entry) override;
  void Update() override;
  void LoseDomain(int domain) override;
  std::int64_t messages() const override { return messages_; }

 private:
  struct entry_state {
    entry_state(const routing::entry_position& share,
                const routing::router_options& options);

    int index = 0;
    bool alive = true;
    base::time_point next_exchange;
    routing::slot_router router;
    admission::request_queue queue;
  };

  void Admit(entry_state& at, std::size_t request);
  void Refuse(const admission::refusal& refused);
  void Pump(entry_state& at);
  void Send(entry_state& at,
            std::size_t request,
            const routing::slot_ticket& ticket);
  void Finish(entry_state& at,
              std::size_t request,
              const routing::slot_ticket& ticket,
              routing::slot_outcome outcome);
  void Exchange(entry_state& at);
  void Deliver(entry_state& from, const routing::outgoing_exchange& message);
  void Tick();
  admission::service_capacity Capacity(entry_state& at) const;

  run_context context_;
  sharing_variant variant_;
  std::vector<std::unique_ptr<entry_state>> entries_;
  std::vector<bool> ended_;
  std::int64_t messages_ = 0;
};

}  // namespace chivecrank::bench

#endif  // CHIVECRANK_TESTS_BENCH_ROUTING_SHARING_POLICY_H_
