#include "chivecrank/instances/scheduler_server.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <future>
#include <thread>
#include <utility>

#include "internal/wire_error.h"
#include "scheduler_peer.h"

namespace chivecrank::instances {
namespace {

namespace thrift = apache::thrift;

/// A connection that says nothing for this long is closed.
constexpr int kIdleMilliseconds = 30'000;

call_origin OriginOf(bool forwarded) {
  return forwarded ? call_origin::kScheduler : call_origin::kEntry;
}

/// Passes calls from the wire on to a job service.
class call_handler final : public wire::scheduler_peerIf {
 public:
  explicit call_handler(job_service& jobs) : jobs_(jobs) {}

  void Submit(wire::job_report& report,
              const wire::job_submission& submission,
              const bool forwarded) override {
    Finish(jobs_.Submit({submission.account, submission.team,
                         submission.idempotency_key, submission.template_name},
                        OriginOf(forwarded)),
           report);
  }

  void Describe(wire::job_report& report,
                const wire::job_reference& reference,
                const bool forwarded) override {
    Finish(jobs_.Describe({reference.account, reference.job_id},
                          OriginOf(forwarded)),
           report);
  }

  void Cancel(wire::job_report& report,
              const wire::job_reference& reference,
              const bool forwarded) override {
    Finish(jobs_.Cancel({reference.account, reference.job_id},
                        OriginOf(forwarded)),
           report);
  }

 private:
  static void Finish(const base::result<job_report>& result,
                     wire::job_report& report) {
    if (!result.has_value())
      throw internal::ToWire(result.error());
    report = internal::ToWire(result.value());
  }

  job_service& jobs_;
};

/// Reports that the server listens.
class listen_observer final : public thrift::server::TServerEventHandler {
 public:
  explicit listen_observer(std::promise<base::result<void>>& listening)
      : listening_(listening) {}

  void preServe() override { listening_.set_value(base::Success()); }

 private:
  std::promise<base::result<void>>& listening_;
};

}  // namespace

class scheduler_server::implementation {
 public:
  implementation(const settings::endpoint& address, job_service& jobs)
      : address_(address),
        socket_(
            std::make_shared<thrift::transport::TServerSocket>(address.host,
                                                               address.port)),
        server_(std::make_shared<wire::scheduler_peerProcessor>(
                    std::make_shared<call_handler>(jobs)),
                socket_,
                std::make_shared<thrift::transport::TFramedTransportFactory>(),
                std::make_shared<thrift::protocol::TBinaryProtocolFactory>()) {
    socket_->setRecvTimeout(kIdleMilliseconds);
    socket_->setSendTimeout(kIdleMilliseconds);
  }

  base::result<void> Start() {
    std::promise<base::result<void>> listening;
    server_.setServerEventHandler(std::make_shared<listen_observer>(listening));
    thread_ = std::thread([this, &listening] {
      try {
        server_.serve();
      } catch (const thrift::TException& failure) {
        listening.set_value(CannotListen(failure.what()));
      }
    });
    return listening.get_future().get();
  }

  void Stop() {
    if (!thread_.joinable())
      return;
    server_.stop();
    thread_.join();
  }

 private:
  base::error CannotListen(const std::string& detail) const {
    return {base::error_kind::kUnavailable,
            "can't listen on " + settings::ToString(address_) + ": " + detail,
            "free the address or choose another in the settings"};
  }

  settings::endpoint address_;
  std::shared_ptr<thrift::transport::TServerSocket> socket_;
  thrift::server::TThreadedServer server_;
  std::thread thread_;
};

scheduler_server::scheduler_server(settings::endpoint address,
                                   job_service& jobs)
    : implementation_(std::make_unique<implementation>(address, jobs)) {}

scheduler_server::~scheduler_server() {
  Stop();
}

base::result<void> scheduler_server::Start() {
  return implementation_->Start();
}

void scheduler_server::Stop() {
  implementation_->Stop();
}

}  // namespace chivecrank::instances
