#include "chivecrank/instances/scheduler_server.h"

#include "chivecrank/rpc/rpc_server.h"
#include "internal/wire_error.h"
#include "scheduler_peer.h"

namespace chivecrank::instances {
namespace {

call_origin OriginOf(bool forwarded) {
  return forwarded ? call_origin::kScheduler : call_origin::kEntry;
}

/// Forwards Thrift calls to a job service.
class call_handler final : public wire::scheduler_peerIf {
 public:
  explicit call_handler(job_service& jobs) : jobs_(jobs) {}

  void Submit(wire::job_report& report,
              const wire::job_submission& submission,
              const bool forwarded) override {
    ReturnOrThrow(
        jobs_.Submit({submission.account, submission.team,
                      submission.idempotency_key, submission.template_name},
                     OriginOf(forwarded)),
        report);
  }

  void Describe(wire::job_report& report,
                const wire::job_reference& reference,
                const bool forwarded) override {
    ReturnOrThrow(jobs_.Describe({reference.account, reference.job_id},
                                 OriginOf(forwarded)),
                  report);
  }

  void Cancel(wire::job_report& report,
              const wire::job_reference& reference,
              const bool forwarded) override {
    ReturnOrThrow(jobs_.Cancel({reference.account, reference.job_id},
                               OriginOf(forwarded)),
                  report);
  }

 private:
  static void ReturnOrThrow(const base::result<job_report>& result,
                            wire::job_report& report) {
    if (!result.has_value())
      throw internal::ToWire(result.error());
    report = internal::ToWire(result.value());
  }

  job_service& jobs_;
};

}  // namespace

class scheduler_server::implementation {
 public:
  implementation(const settings::endpoint& address, job_service& jobs)
      : server_(address,
                std::make_shared<wire::scheduler_peerProcessor>(
                    std::make_shared<call_handler>(jobs))) {}

  base::result<void> Start() { return server_.Start(); }
  void Stop() { server_.Stop(); }

 private:
  rpc::rpc_server server_;
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
