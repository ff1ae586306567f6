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

constexpr std::size_t kIdleConnections = 16;

base::error Unreached(const settings::endpoint& entry, const char* detail) {
  return {
      base::error_kind::kUnavailable,
      "can't reach the entry at " + settings::ToString(entry) + ": " + detail,
      "try again"};
}

base::error Unanswered(const settings::endpoint& entry, const char* detail) {
  return {base::error_kind::kOutcomeUnknown,
          "no answer from the entry at " + settings::ToString(entry) + ": " +
              detail,
          "repeat the call"};
}

}  // namespace

struct entry_client::connection {
  explicit connection(const settings::endpoint& entry)
      : socket(std::make_shared<thrift::transport::TSocket>(entry.host,
                                                            entry.port)),
        transport(
            std::make_shared<thrift::transport::TFramedTransport>(socket)),
        peer(std::make_shared<thrift::protocol::TBinaryProtocol>(transport)) {}

  void Limit(std::chrono::milliseconds timeout) {
    const int limit = static_cast<int>(timeout.count());
    socket->setConnTimeout(limit);
    socket->setRecvTimeout(limit);
    socket->setSendTimeout(limit);
  }

  std::shared_ptr<thrift::transport::TSocket> socket;
  std::shared_ptr<thrift::transport::TFramedTransport> transport;
  wire::entry_peerClient peer;
};

entry_client::entry_client(std::chrono::milliseconds timeout)
    : timeout_(timeout) {}

entry_client::~entry_client() = default;

std::unique_ptr<entry_client::connection> entry_client::Take(
    const settings::endpoint& entry) {
  std::lock_guard held(mutex_);
  auto& idle = idle_[settings::ToString(entry)];
  if (idle.empty())
    return nullptr;
  auto kept = std::move(idle.back());
  idle.pop_back();
  return kept;
}

void entry_client::Keep(const settings::endpoint& entry,
                        std::unique_ptr<connection> used) {
  std::lock_guard held(mutex_);
  auto& idle = idle_[settings::ToString(entry)];
  if (idle.size() < kIdleConnections)
    idle.push_back(std::move(used));
}

template <class Call>
base::result<void> entry_client::Run(const settings::endpoint& entry,
                                     std::chrono::milliseconds timeout,
                                     const Call& call) {
  auto used = Take(entry);
  const bool kept = used != nullptr;
  if (!kept)
    used = std::make_unique<connection>(entry);
  used->Limit(timeout);
  try {
    if (!kept)
      used->transport->open();
  } catch (const thrift::TException& failure) {
    return Unreached(entry, failure.what());
  }
  try {
    call(used->peer);
  } catch (const wire::call_failure& failure) {
    Keep(entry, std::move(used));
    return internal::FromWire(failure);
  } catch (const thrift::transport::TTransportException& failure) {
    // The others of its age are likely as dead.
    std::lock_guard held(mutex_);
    idle_[settings::ToString(entry)].clear();
    return Unanswered(entry, failure.what());
  } catch (const thrift::TException& failure) {
    return Unanswered(entry, failure.what());
  }
  Keep(entry, std::move(used));
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
