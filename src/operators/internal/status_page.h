#ifndef CHIVECRANK_OPERATORS_INTERNAL_STATUS_PAGE_H_
#define CHIVECRANK_OPERATORS_INTERNAL_STATUS_PAGE_H_

#include <string>

#include "chivecrank/base/result.h"
#include "chivecrank/configuration/types.h"
#include "chivecrank/http/json.h"

namespace chivecrank::operators::internal {

/// Content of the status page. A part that could not be read is shown as its
/// error.
struct page_parts {
  configuration::revision revision = 0;
  base::result<http::json_object> workers;
  base::result<http::json_object> processes;
  base::result<http::json_object> shards;
};

/// Returns a self-contained HTML page.
std::string StatusPage(const page_parts& parts);

}  // namespace chivecrank::operators::internal

#endif  // CHIVECRANK_OPERATORS_INTERNAL_STATUS_PAGE_H_
