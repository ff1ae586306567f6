#include "internal/status_page.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace chivecrank::operators::internal {
namespace {

using columns = std::vector<std::string>;

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
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string CellText(const http::json_object& row, const std::string& column) {
  return row->has(column) ? EscapeHtml(row->get(column).toString()) : "";
}

/// Returns the table rows sorted by their cells, so that items of one failure
/// domain and rack are adjacent.
std::vector<std::string> Rows(const http::json_array& items,
                              const columns& shown) {
  std::vector<std::string> rows;
  for (unsigned i = 0; i < items->size(); ++i) {
    std::string row = "<tr>";
    for (const std::string& column : shown)
      row += "<td>" + CellText(items->getObject(i), column) + "</td>";
    rows.push_back(row + "</tr>\n");
  }
  std::sort(rows.begin(), rows.end());
  return rows;
}

void AddTable(std::ostringstream& page,
              const std::string& title,
              const base::result<http::json_object>& part,
              const std::string& key,
              const columns& shown) {
  page << "<h2>" << title << "</h2>\n";
  if (!part.has_value()) {
    page << "<p>" << EscapeHtml(base::Describe(part.error())) << "</p>\n";
    return;
  }
  page << "<table><tr>";
  for (const std::string& column : shown)
    page << "<th>" << column << "</th>";
  page << "</tr>\n";
  for (const std::string& row : Rows(http::ArrayOf(part.value(), key), shown))
    page << row;
  page << "</table>\n";
}

}  // namespace

std::string StatusPage(const page_parts& parts) {
  std::ostringstream page;
  page << "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
       << "<title>chivecrank</title><style>body{font-family:sans-serif}"
       << "table{border-collapse:collapse}td,th{border:1px solid #999;"
       << "padding:2px 8px;text-align:left}</style></head><body>\n"
       << "<h1>chivecrank</h1>\n<p>Active configuration of this instance: "
          "revision "
       << parts.revision << "</p>\n";
  AddTable(page, "Workers", parts.workers, "workers",
           {"failure_domain", "rack", "worker", "state", "drained", "slots",
            "processors_milli", "memory_mib", "accelerators"});
  AddTable(page, "Shards", parts.shards, "shards", {"shard", "owner", "epoch"});
  AddTable(page, "Processes", parts.processes, "processes",
           {"failure_domain", "instance", "daemon", "status", "reached",
            "revision"});
  page << "</body></html>\n";
  return page.str();
}

}  // namespace chivecrank::operators::internal
