#ifndef CHIVECRANK_OBJECTIVES_TEXT_REPORT_H_
#define CHIVECRANK_OBJECTIVES_TEXT_REPORT_H_

#include <string>

#include "chivecrank/http/json.h"
#include "chivecrank/objectives/types.h"

namespace chivecrank::objectives {

std::string TextReport(const burn_report& report);

http::json_object JsonReport(const burn_report& report);

/// Formats a window in its largest whole unit: "5 m", "1 h", "3 d".
std::string WindowText(std::chrono::minutes window);

}  // namespace chivecrank::objectives

#endif  // CHIVECRANK_OBJECTIVES_TEXT_REPORT_H_
