#include "chivecrank/instances/entry_server.h"

#include "chivecrank/rpc/rpc_server.h"
#include "entry_peer.h"
#include "internal/entry_codec.h"
#include "internal/wire_error.h"

namespace chivecrank::instances {
namespace {

/// Forwards Thrift calls to the idempotency key homes.
class call_handler final : public wire::entry_peerIf {
 public:
  explicit call_handler(idempotency::home_service& homes) : homes_(homes) {}

  void Begin(wire::request_decision& decided,
             const wire::request_arrival& arrival) override {
    const auto result =
        homes_.Begin(internal::FromWire(arrival), internal::LimitsOf(arrival));
    if (!result.has_value())
      throw internal::ToWire(result.error());
    decided = internal::ToWire(result.value());
  }

  void Finish(const wire::request_end& ended) override {
    const auto result = homes_.Finish(internal::FromWire(ended));
    if (!result.has_value())
      throw internal::ToWire(result.error());
  }

  void Describe(wire::request_report& report,
                const std::string& request_id) override {
    const auto result = homes_.Describe(request_id);
    if (!result.has_value())
      throw internal::ToWire(result.error());
    report = internal::ToWire(result.value());
  }

  void Ping() override {}

 private:
  idempotency::home_service& homes_;
};

}  // namespace

class entry_server::implementation {
 public:
  implementation(const settings::endpoint& address,
                 idempotency::home_service& homes)
      : server_(address,
                std::make_shared<wire::entry_peerProcessor>(
                    std::make_shared<call_handler>(homes))) {}

  base::result<void> Start() { return server_.Start(); }
  void Stop() { server_.Stop(); }

 private:
  rpc::rpc_server server_;
};

entry_server::entry_server(const settings::endpoint& address,
                           idempotency::home_service& homes)
    : implementation_(std::make_unique<implementation>(address, homes)) {}

entry_server::~entry_server() {
  Stop();
}

base::result<void> entry_server::Start() {
  return implementation_->Start();
}

void entry_server::Stop() {
  implementation_->Stop();
}

}  // namespace chivecrank::instances
