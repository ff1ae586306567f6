#include "chivecrank/instances/scheduler_client.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <utility>

#include "internal/wire_error.h"
#include "scheduler_peer.h"

namespace chivecrank::instances {
namespace {

namespace thrift = apache::thrift;

wire::job_submission ToWire(const job_submission& submission) {
  wire::job_submission encoded;
  encoded.account = submission.account;
  encoded.team = submission.team;
  encoded.idempotency_key = submission.idempotency_key;
  encoded.template_name = submission.template_name;
  return encoded;
}

wire::job_reference ToWire(const job_reference& reference) {
  wire::job_reference encoded;
  encoded.account = reference.account;
  encoded.job_id = reference.job_id;
  return encoded;
}

bool IsForwarded(call_origin origin) {
  return origin == call_origin::kScheduler;
}

}  // namespace

scheduler_client::scheduler_client(settings::endpoint address,
                                   std::chrono::milliseconds timeout)
    : address_(std::move(address)), timeout_(timeout) {}

template <class Call>
base::result<job_report> scheduler_client::Run(const Call& call) {
  auto socket = std::make_shared<thrift::transport::TSocket>(address_.host,
                                                             address_.port);
  const int timeout = static_cast<int>(timeout_.count());
  socket->setConnTimeout(timeout);
  socket->setRecvTimeout(timeout);
  socket->setSendTimeout(timeout);
  auto transport =
      std::make_shared<thrift::transport::TFramedTransport>(socket);
  wire::scheduler_peerClient peer(
      std::make_shared<thrift::protocol::TBinaryProtocol>(transport));
  try {
    transport->open();
  } catch (const thrift::TException& failure) {
    return base::error{base::error_kind::kUnavailable,
                       "can't reach the scheduler at " +
                           settings::ToString(address_) + ": " + failure.what(),
                       "retry later or through another entry"};
  }
  try {
    wire::job_report report;
    call(peer, report);
    return internal::FromWire(report);
  } catch (const wire::call_failure& failure) {
    return internal::FromWire(failure);
  } catch (const thrift::TException& failure) {
    return base::error{base::error_kind::kOutcomeUnknown,
                       "no answer from the scheduler at " +
                           settings::ToString(address_) + ": " + failure.what(),
                       "repeat the call with the same idempotency key"};
  }
}

base::result<job_report> scheduler_client::Submit(
    const job_submission& submission,
    call_origin origin) {
  return Run([&](wire::scheduler_peerClient& peer, wire::job_report& report) {
    peer.Submit(report, ToWire(submission), IsForwarded(origin));
  });
}

base::result<job_report> scheduler_client::Describe(
    const job_reference& reference,
    call_origin origin) {
  return Run([&](wire::scheduler_peerClient& peer, wire::job_report& report) {
    peer.Describe(report, ToWire(reference), IsForwarded(origin));
  });
}

base::result<job_report> scheduler_client::Cancel(
    const job_reference& reference,
    call_origin origin) {
  return Run([&](wire::scheduler_peerClient& peer, wire::job_report& report) {
    peer.Cancel(report, ToWire(reference), IsForwarded(origin));
  });
}

}  // namespace chivecrank::instances
