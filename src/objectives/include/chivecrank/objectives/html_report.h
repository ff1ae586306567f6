#ifndef CHIVECRANK_OBJECTIVES_HTML_REPORT_H_
#define CHIVECRANK_OBJECTIVES_HTML_REPORT_H_

#include <string>

#include "chivecrank/objectives/types.h"

namespace chivecrank::objectives {

/// Returns the report as one self-contained HTML page with inline plots.
std::string HtmlReport(const burn_report& report);

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_HTML_REPORT_H_
