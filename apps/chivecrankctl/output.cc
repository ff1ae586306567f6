#include "output.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace chivecrank::ctl {
namespace {

constexpr unsigned kIndent = 2;
constexpr std::size_t kColumnGap = 2;

using row = std::vector<std::string>;

exit_code ExitCodeOf(const base::error& failure) {
  switch (failure.kind) {
    case base::error_kind::kInvalidArgument:
    case base::error_kind::kNotFound:
    case base::error_kind::kPermissionDenied:
    case base::error_kind::kUnauthenticated:
      return exit_code::kRefused;
    case base::error_kind::kConflict:
      return exit_code::kConflict;
    case base::error_kind::kUnavailable:
    case base::error_kind::kOutcomeUnknown:
    case base::error_kind::kTimeout:
      return exit_code::kUnavailable;
    default:
      return exit_code::kFailed;
  }
}

std::string Upper(std::string text) {
  for (char& letter : text)
    letter =
        static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  return text;
}

void PrintRows(const std::vector<row>& rows) {
  std::vector<std::size_t> widths(rows[0].size());
  for (const row& cells : rows) {
    for (std::size_t i = 0; i < cells.size(); ++i)
      widths[i] = std::max(widths[i], cells[i].size() + kColumnGap);
  }
  for (const row& cells : rows) {
    for (std::size_t i = 0; i + 1 < cells.size(); ++i)
      std::cout << std::left << std::setw(static_cast<int>(widths[i]))
                << cells[i];
    std::cout << cells.back() << "\n";
  }
}

}  // namespace

exit_code Report(const base::error& failure) {
  std::cerr << base::Describe(failure) << "\n";
  return ExitCodeOf(failure);
}

void PrintJson(const http::json_object& body) {
  body->stringify(std::cout, kIndent);
  std::cout << "\n";
}

void PrintList(const command_context& context,
               const http::json_object& body,
               const std::string& key,
               const std::vector<std::string>& columns) {
  if (context.format == output_format::kJson) {
    PrintJson(body);
    return;
  }
  std::vector<row> rows(1);
  for (const std::string& column : columns)
    rows[0].push_back(Upper(column));
  const http::json_array items = http::ArrayOf(body, key);
  for (unsigned i = 0; i < items->size(); ++i) {
    const http::json_object item = items->getObject(i);
    row cells;
    for (const std::string& column : columns)
      cells.push_back(item->has(column) ? item->get(column).toString() : "");
    rows.push_back(std::move(cells));
  }
  PrintRows(rows);
}

}  // namespace chivecrank::ctl
