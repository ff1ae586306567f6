#include "chivecrank/instances/entry_client.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <utility>

#include "entry_peer.h"
#include "internal/entry_codec.h"
#include "internal/wire_error.h"

namespace chivecrank::instances {
namespace {

namespace thrift = apache::thrift;

constexpr std::size_t kMaxIdleConnections = 16;

base::error Unreachable(const settings::endpoint& entry, const char* detail) {
  return {
      base::error_kind::kUnavailable,
      "can't reach the entry at " + settings::ToString(entry) + ": " + detail,
      "retry the call"};
}

base::error Unanswered(const settings::endpoint& entry, const char* detail) {
  return {base::error_kind::kOutcomeUnknown,
          "no answer from the entry at " + settings::ToString(entry) + ": " +
              detail,
          "retry the call"};
}

}  // namespace

struct entry_client::connection {
  explicit connection(const settings::endpoint& entry)
      : socket(std::make_shared<thrift::transport::TSocket>(entry.host,
                                                            entry.port)),
        transport(
            std::make_shared<thrift::transport::TFramedTransport>(socket)),
        peer(std::make_shared<thrift::protocol::TBinaryProtocol>(transport)) {}

  void SetTimeout(std::chrono::milliseconds timeout) {
    const int timeout_ms = static_cast<int>(timeout.count());
    socket->setConnTimeout(timeout_ms);
    socket->setRecvTimeout(timeout_ms);
    socket->setSendTimeout(timeout_ms);
  }

  std::shared_ptr<thrift::transport::TSocket> socket;
  std::shared_ptr<thrift::transport::TFramedTransport> transport;
  wire::entry_peerClient peer;
};

entry_client::entry_client(std::chrono::milliseconds timeout)
    : timeout_(timeout) {}

entry_client::~entry_client() = default;

std::unique_ptr<entry_client::connection> entry_client::TakeIdle(
    const settings::endpoint& entry) {
  std::lock_guard lock(mutex_);
  auto& idle = idle_[settings::ToString(entry)];
  if (idle.empty())
    return nullptr;
  auto reused = std::move(idle.back());
  idle.pop_back();
  return reused;
}

void entry_client::ReturnIdle(const settings::endpoint& entry,
                              std::unique_ptr<connection> active) {
  std::lock_guard lock(mutex_);
  auto& idle = idle_[settings::ToString(entry)];
  if (idle.size() < kMaxIdleConnections)
    idle.push_back(std::move(active));
}

template <class Call>
base::result<void> entry_client::Run(const settings::endpoint& entry,
                                     std::chrono::milliseconds timeout,
                                     const Call& call) {
  auto active = TakeIdle(entry);
  const bool reused = active != nullptr;
  if (!reused)
    active = std::make_unique<connection>(entry);
  active->SetTimeout(timeout);
  try {
    if (!reused)
      active->transport->open();
  } catch (const thrift::TException& failure) {
    return Unreachable(entry, failure.what());
  }
  try {
    call(active->peer);
  } catch (const wire::call_failure& failure) {
    ReturnIdle(entry, std::move(active));
    return internal::FromWire(failure);
  } catch (const thrift::transport::TTransportException& failure) {
    // The peer has probably closed the other idle connections too.
    std::lock_guard lock(mutex_);
    idle_[settings::ToString(entry)].clear();
    return Unanswered(entry, failure.what());
  } catch (const thrift::TException& failure) {
    return Unanswered(entry, failure.what());
  }
  ReturnIdle(entry, std::move(active));
  return base::Success();
}

base::result<idempotency::decision> entry_client::Begin(
    const settings::endpoint& entry,
    const idempotency::arrival& request,
    idempotency::time_limits limits) {
  wire::request_decision decided;
  BOOST_OUTCOME_TRY(Run(
      entry, timeout_ + limits.poll_timeout, [&](wire::entry_peerClient& peer) {
        peer.Begin(decided, internal::ToWire(request, limits));
      }));
  return internal::FromWire(decided);
}

base::result<void> entry_client::Finish(const settings::endpoint& entry,
                                        const idempotency::log_entry& ended) {
  return Run(entry, timeout_, [&](wire::entry_peerClient& peer) {
    peer.Finish(internal::ToWire(ended));
  });
}

base::result<idempotency::key_report> entry_client::Describe(
    const settings::endpoint& entry,
    const std::string& request_id) {
  wire::request_report report;
  BOOST_OUTCOME_TRY(Run(entry, timeout_, [&](wire::entry_peerClient& peer) {
    peer.Describe(report, request_id);
  }));
  return internal::FromWire(report);
}

base::result<void> entry_client::Ping(const settings::endpoint& entry) {
  return Run(entry, timeout_,
             [](wire::entry_peerClient& peer) { peer.Ping(); });
}

}  // namespace chivecrank::instances
