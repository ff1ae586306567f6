#ifndef CHIVECRANK_CALLERS_CALLER_API_H_
#define CHIVECRANK_CALLERS_CALLER_API_H_

#include "chivecrank/base/clock.h"
#include "chivecrank/callers/request_service.h"
#include "chivecrank/callers/types.h"
#include "chivecrank/configuration/view.h"
#include "chivecrank/instances/job_service.h"

namespace chivecrank::callers {

/// The HTTP interface for callers: service requests and batch jobs.
class caller_api {
 public:
  caller_api(base::clock& clock,
             const configuration::view& configured,
             request_service& requests,
             instances::job_service& jobs);

  /// Safe to call from several threads.
  http::response Answer(const http::request& message);

 private:
  caller_answer Route(const http::request& message);
  caller_answer AnswerJobs(const http::request& message,
                           const configuration::client_account& account);
  base::result<instances::job_report> CallJobs(
      const http::request& message,
      const configuration::client_account& account);

  base::clock& clock_;
  const configuration::view& configured_;
  request_service& requests_;
  instances::job_service& jobs_;
};

}  // namespace chivecrank::callers

#endif  // CHIVECRANK_CALLERS_CALLER_API_H_
