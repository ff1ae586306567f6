#ifndef CHIVECRANK_CALLERS_CALLER_API_H_
#define CHIVECRANK_CALLERS_CALLER_API_H_

#include <functional>

#include "chivecrank/base/clock.h"
#include "chivecrank/callers/once_service.h"
#include "chivecrank/callers/types.h"
#include "chivecrank/configuration/view.h"
#include "chivecrank/instances/job_service.h"
#include "chivecrank/objectives/types.h"

namespace chivecrank::callers {

/// HTTP API for client accounts: service requests and batch jobs.
class caller_api {
 public:
  /// Called once for each answered service request, from the thread that served
  /// it.
  using observer = std::function<void(const objectives::request_observation&)>;

  caller_api(base::clock& clock,
             const configuration::view& configured,
             once_service& requests,
             instances::job_service& jobs,
             observer observe);

  /// Safe to call from several threads.
  http::response Answer(const http::request& message);

 private:
  caller_answer Route(const http::request& message);
  caller_answer ServeObserved(const caller_request& request,
                              const configuration::content& configured);
  caller_answer DescribeKey(const http::request& message,
                            const configuration::client_account& account);
  caller_answer AnswerJobs(const http::request& message,
                           const configuration::client_account& account);
  base::result<instances::job_report> CallJobs(
      const http::request& message,
      const configuration::client_account& account);

  base::clock& clock_;
  const configuration::view& configured_;
  once_service& requests_;
  instances::job_service& jobs_;
  const observer observe_;
};

}  // namespace chivecrank::callers

#endif  // CHIVECRANK_CALLERS_CALLER_API_H_
