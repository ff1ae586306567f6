#include "chivecrank/entries/entry_server.h"

#include <utility>

#include "chivecrank/rpc/rpc_server.h"
#include "entry_peer.h"
#include "internal/wire_codec.h"

namespace chivecrank::entries {
namespace {

class exchange_handler final : public wire::entry_peerIf {
 public:
  explicit exchange_handler(slot_pool& pool) : pool_(pool) {}

  void Exchange(wire::exchange_answer& answer,
                const wire::exchange_request& request) override {
    answer = internal::ToWire(pool_.HandleRequest(internal::FromWire(request)));
  }

 private:
  slot_pool& pool_;
};

}  // namespace

class entry_server::implementation {
 public:
  implementation(const settings::endpoint& address, slot_pool& pool)
      : server_(address,
                std::make_shared<wire::entry_peerProcessor>(
                    std::make_shared<exchange_handler>(pool))) {}

  base::result<void> Start() { return server_.Start(); }
  void Stop() { server_.Stop(); }

 private:
  rpc::rpc_server server_;
};

entry_server::entry_server(settings::endpoint address, slot_pool& pool)
    : implementation_(std::make_unique<implementation>(address, pool)) {}

entry_server::~entry_server() {
  Stop();
}

base::result<void> entry_server::Start() {
  return implementation_->Start();
}

void entry_server::Stop() {
  implementation_->Stop();
}

}  // namespace chivecrank::entries
