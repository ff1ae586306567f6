#ifndef CHIVECRANK_OBJECTIVES_INTERNAL_SVG_PLOT_H_
#define CHIVECRANK_OBJECTIVES_INTERNAL_SVG_PLOT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace chivecrank::objectives::internal {

struct plot_point {
  std::int64_t at_ms = 0;
  double value = 0;
};

struct plot_options {
  std::string title;
  std::string unit;
  /// Value of a horizontal reference line, such as the burn rate 1; no line if
  /// negative.
  double mark = -1;
  /// CSS colour of the line.
  std::string colour = "#1f5f8b";
};

/// Returns a line plot as an inline SVG element.
std::string SvgPlot(const plot_options& options,
                    const std::vector<plot_point>& points);

}  // namespace chivecrank::objectives::internal

#endif  // CHIVECRANK_OBJECTIVES_INTERNAL_SVG_PLOT_H_
