#include "chivecrank/objectives/html_report.h"

#include <iomanip>
#include <sstream>

#include "chivecrank/objectives/text_report.h"
#include "internal/svg_plot.h"

namespace chivecrank::objectives {
namespace {

constexpr double kPercent = 100;
constexpr char kStyle[] = R"(
body{font:15px/1.45 sans-serif;max-width:46em;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.5em}h2{border-top:2px solid #ccc;padding-top:.6em}
table{border-collapse:collapse;margin:.6em 0}
td,th{border:1px solid #ccc;padding:.25em .7em;text-align:right}
td:first-child,th:first-child{text-align:left}
svg{width:100%;height:auto;font:12px sans-serif}
.page{color:#b03030;font-weight:bold}.ticket{color:#9a6700;font-weight:bold}
@media print{body{margin:0;max-width:none}h2{break-after:avoid}svg,table{break-inside:avoid}}
)";

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

void AppendWindows(const service_burn& burn, std::ostringstream& page) {
  page << "<table><tr><th>window</th><th>burn rate</th><th>bad</th>"
          "<th>requests</th></tr>\n";
  for (const window_burn& window : burn.windows) {
    page << "<tr><td>" << WindowText(window.window) << "</td><td>"
         << window.burn_rate << "</td><td>" << window.requests.WholeBad()
         << "</td><td>" << window.requests.WholeTotal() << "</td></tr>\n";
  }
  page << "</table>\n";
}

void AppendAccounts(const service_burn& burn, std::ostringstream& page) {
  if (burn.worst_accounts.empty())
    return;
  page << "<table><tr><th>client account</th><th>bad</th><th>requests</th>"
          "</tr>\n";
  for (const offender& worst : burn.worst_accounts) {
    page << "<tr><td>" << EscapeHtml(worst.account) << "</td><td>"
         << worst.requests.WholeBad() << "</td><td>"
         << worst.requests.WholeTotal() << "</td></tr>\n";
  }
  page << "</table>\n";
}

void AppendPlots(const service_burn& burn, std::ostringstream& page) {
  std::vector<internal::plot_point> rates;
  std::vector<internal::plot_point> requests;
  for (const burn_point& point : burn.course) {
    rates.push_back({point.at_ms, point.burn_rate});
    requests.push_back({point.at_ms, point.requests_per_s});
  }
  page << internal::SvgPlot({"Burn rate", "1 uses up the budget", 1, "#1f5f8b"},
                            rates)
       << internal::SvgPlot({"Requests", "per second", -1, "#3c7a3c"},
                            requests);
}

void AppendService(const service_burn& burn, std::ostringstream& page) {
  const std::string_view alert = AlertSeverityName(burn.alert);
  page << "<h2>" << EscapeHtml(burn.objective.service)
       << "</h2>\n<p>Objective: " << kPercent * burn.objective.ratio
       << "% of requests within " << burn.objective.latency.count()
       << " ms. Error budget left: " << kPercent * burn.budget_left
       << "%. Alert: <span class='" << alert << "'>" << alert
       << "</span>.</p>\n";
  AppendWindows(burn, page);
  AppendPlots(burn, page);
  AppendAccounts(burn, page);
}

}  // namespace

std::string HtmlReport(const burn_report& report) {
  std::ostringstream page;
  page << std::fixed << std::setprecision(1);
  page << "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'>"
          "<title>Service level burn</title><style>"
       << kStyle << "</style></head><body>\n<h1>Service level burn</h1>\n";
  if (report.services.empty())
    page << "<p>The samples contain no objectives.</p>\n";
  for (const service_burn& burn : report.services)
    AppendService(burn, page);
  page << "</body></html>\n";
  return page.str();
}

}  // namespace chivecrank::objectives
