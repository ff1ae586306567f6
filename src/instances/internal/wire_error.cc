#include "internal/wire_error.h"

namespace chivecrank::instances::internal {

wire::call_failure ToWire(const base::error& failure) {
  wire::call_failure encoded;
  encoded.kind = base::ErrorKindName(failure.kind);
  encoded.message = failure.message;
  encoded.remedy = failure.remedy;
  return encoded;
}

base::error FromWire(const wire::call_failure& failure) {
  return {base::ErrorKindFromName(failure.kind), failure.message,
          failure.remedy};
}

wire::job_report ToWire(const job_report& report) {
  wire::job_report encoded;
  encoded.job_id = report.job_id;
  encoded.template_name = report.template_name;
  encoded.state = report.state;
  encoded.attempts = report.attempts;
  encoded.worker_id = report.worker_id;
  encoded.detail = report.detail;
  return encoded;
}

job_report FromWire(const wire::job_report& report) {
  return {report.job_id,   report.template_name, report.state,
          report.attempts, report.worker_id,     report.detail};
}

}  // namespace chivecrank::instances::internal
