#ifndef CHIVECRANK_INSTANCES_TYPES_H_
#define CHIVECRANK_INSTANCES_TYPES_H_

#include <cstdint>
#include <string>

/// Thrift calls between entries and schedulers.
namespace chivecrank::instances {

/// A job that an authenticated client account submits.
struct job_submission {
  std::string account;
  std::string team;
  std::string idempotency_key;
  std::string template_name;
};

/// Identifies a job of an account.
struct job_reference {
  std::string account;
  std::string job_id;
};

/// Current state of a job.
struct job_report {
  std::string job_id;
  std::string template_name;
  std::string state;
  std::int32_t attempts = 0;
  std::string worker_id;
  std::string detail;
};

}  // namespace chivecrank::instances

#endif  // CHIVECRANK_INSTANCES_TYPES_H_
